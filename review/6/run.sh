#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review ] && [ -f target/forward/burdock-platform-0.1.0.jar ] || exit 2
exec java -Xmx512m -Dfile.encoding=UTF-8 -cp target/review RetiredService review/6
