#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on, after the build of the deploy file and without a network.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
rm -rf "$root/target/review-2"
mkdir -p "$root/target/review-2"
find "$root/review/stand6" -name '*.java' -print0 \
    | xargs -0 javac -encoding UTF-8 -d "$root/target/review-2" -cp "$root/target/app/*"
