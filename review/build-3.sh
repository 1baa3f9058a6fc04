#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the gateway. Their stand-ins are
# plain programs of Node.js in review/lib-3 without dependencies, so only their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.js 1[1-5]/*.js; do
	[ -e "$file" ] || continue
	node --check "$file"
done
