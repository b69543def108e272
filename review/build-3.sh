#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start; needs no network once deploy/build.sh has run.
set -eu
cd "$(dirname "$0")/.."
npm run build
