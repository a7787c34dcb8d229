#!/usr/bin/env bash
# Runs the linter over source files: cmake/lint.sh BUILD_FOLDER FILE...
#
# A file that was clean before is not linted again while the linter, its
# settings, the compile command and the preprocessed text are the same. Only
# clean results are kept.
set -uo pipefail
build=$1
shift
cache=${KUMQUATRAMP_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/kumquatramp-lint}
mkdir -p "$cache"
tool=$(clang-tidy --version; cat .clang-tidy)

# Prints the compile command of a file without the compiler cache and output.
compile_command() {
    awk -v file="  \"file\": \"$1\"" '
        /^  "command": / { command = $0 }
        index($0, file) == 1 { print command; exit }' \
        "$build/compile_commands.json" |
        sed -E 's/^  "command": "//; s/",$//; s/\\(.)/\1/g; s/^[^ ]*ccache //; s/ -o [^ ]+//'
}

status=0
for file in "$@"; do
    key=
    command=$(compile_command "$PWD/$file")
    if [ -n "$command" ]; then
        # -C keeps comments: they may hold NOLINT.
        # Paths are relative, so that clones of the tree share results.
        text=$(eval "$command -E -C" 2>/dev/null | sed "s#$PWD/##g" |
            sha256sum) &&
            key=$(printf '%s\n' "$tool" "${command//$PWD\//}" "$text" |
                sha256sum | cut -c1-64)
    fi
    if [ -n "$key" ] && [ -e "$cache/$key" ]; then
        continue
    fi
    report=$(clang-tidy -p "$build" --quiet "$file" 2>&1)
    if [ $? -ne 0 ] || grep -q 'error:' <<<"$report"; then
        printf '%s\n' "$report" | grep -vE 'warnings? generated|^$'
        status=1
    elif [ -n "$key" ]; then
        touch "$cache/$key"
    fi
done
exit "$status"
