#!/usr/bin/env bash
# Installs the locked dependencies when they are missing or older than the lock file.
set -eu
cd "$(dirname "$0")/.."
stamp=node_modules/.bluebellmast-lock
if [ ! -f "$stamp" ] || ! cmp -s package-lock.json "$stamp"; then
	npm ci --no-audit --no-fund --loglevel=error
	cp package-lock.json "$stamp"
fi
