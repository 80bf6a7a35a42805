#!/bin/sh
# Builds the stand-ins that the scripts of the third review start; the build of deploy/system.toml comes before it.
cd "$(dirname "$0")/standins-3" && exec cargo build --release --locked --offline
