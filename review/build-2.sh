#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start; needs the dependencies that deploy/build.sh has installed, and no network.
set -eu
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -b
