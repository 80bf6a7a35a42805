//! Reservations and queues of one worker: what may start there now.
