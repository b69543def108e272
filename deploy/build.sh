#!/usr/bin/env bash
# Builds the gateway for the users' platform into one file under target/.
set -eu
cd "$(dirname "$0")/.."
bash scripts/prepare.sh
node scripts/bundle.mjs
