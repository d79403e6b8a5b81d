#!/usr/bin/env bash
# Builds all stand-ins that the scripts of cases 6 to 8 start. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standins-2/*.java
