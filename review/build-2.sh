#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. The project's
# own programs are built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
for source in review/{6,7,8,9,10}/*.cc; do
    if [ -e "$source" ]; then
        g++ -std=c++20 -O1 -Wall -Wextra -o \
            "target/review-2/$(basename "$source" .cc)" "$source" -pthread
    fi
done
