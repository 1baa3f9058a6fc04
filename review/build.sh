#!/bin/sh
# The stand-ins of the scripts are plain JavaScript in review/lib/ and need no build; this checks their syntax.
cd "$(dirname "$0")" || exit 1
for file in lib/*.js */case.js; do
	node --check "$file" || exit 1
done
