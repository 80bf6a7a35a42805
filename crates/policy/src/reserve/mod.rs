//! Room kept free for quick work, following the recent crest.
