#!/usr/bin/env bash
# The stand-ins of the cases are plain modules under review/lib that need no build; this checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
	node --check "$file"
done
