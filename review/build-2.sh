#!/bin/sh
# The stand-ins of the second review use only the standard library: nothing to build but
# a check that they can be read, and the dependencies of the deploy file.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || sh -c "$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')"
for file in review/common-2/*.py review/*/case.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
