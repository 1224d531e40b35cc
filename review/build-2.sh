#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. Needs the JDK only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/standin-2/target
javac -d review/standin-2/target review/standin-2/src/*.java
