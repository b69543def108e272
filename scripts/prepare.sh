#!/usr/bin/env bash
# Installs the locked dependencies unless they were installed from the current lock file.
set -eu
cd "$(dirname "$0")/.."
stamp=node_modules/.bluebellmast-lock
if [ ! -f "$stamp" ] || ! cmp -s package-lock.json "$stamp"; then
	npm ci --no-audit --no-fund --loglevel=error
	cp package-lock.json "$stamp"
fi
