#!/bin/sh
# The stand-ins of the cases are plain JavaScript without packages, so there is nothing to
# compile: this checks that all files are there and readable by Node.js.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.js 6/case.js 7/case.js 8/case.js 9/case.js 10/case.js; do
	node --check "$file"
done
