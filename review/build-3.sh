#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on into review/standin-3/target. Needs the JDK only.
set -eu
cd "$(dirname "$0")/standin-3"
rm -rf target
mkdir target
javac -d target ./*.java
