#!/bin/sh
# Builds the stand-ins of the cases against what the build of the deploy file left in target/app. Needs no network.
set -eu
cd "$(dirname "$0")/.."
if ! ls target/app/*.jar > /dev/null 2>&1; then
    echo "target/app is missing: run the build of deploy/system.toml first" >&2
    exit 2
fi
mkdir -p target/review
javac -nowarn -cp 'target/app/*' -d target/review $(find review -name '*.java' | sort)
