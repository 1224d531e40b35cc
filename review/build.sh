#!/bin/sh
# Compiles the stand-ins of the cases into review/target.
cd "$(dirname "$0")" && mkdir -p target && exec javac -encoding UTF-8 -d target standin/*.java
