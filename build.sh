#!/usr/bin/env bash
# Installs the dependencies of kumquatramp, builds, tests and demonstrates it.
#
#   ./build.sh          builds everything into out/
#   ./build.sh demo     installs packages, builds and runs the demo
#   ./build.sh test     builds and runs the tests
#   ./build.sh bench    builds and runs the benchmarks and checks their bounds
#   ./build.sh check    runs the formatter and the linter
#   ./build.sh sanitize runs the decision library's tests under sanitizers
#   ./build.sh setup    installs the packages
set -euo pipefail
cd "$(dirname "$0")"

# Clones of the tree share compiled objects.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1

packages=(
    g++ cmake ninja-build pkg-config clang-format clang-tidy
    libasio-dev libjsonrpccpp-dev libjsoncpp-dev libcpp-httplib-dev
    libgflags-dev libspdlog-dev libboost-dev catch2 libtrompeloeil-cpp-dev
    libinih-dev libbenchmark-dev libxxhash-dev libssl-dev libcurl4-openssl-dev
    libhttp-parser-dev libmsgpack-cxx-dev rapidjson-dev curl ccache
)

setup() {
    if dpkg-query -W "${packages[@]}" >/dev/null 2>&1; then
        return
    fi
    apt-get update
    DEBIAN_FRONTEND=noninteractive apt-get install -y "${packages[@]}"
}

build() {
    cmake -S . -B out/build -G Ninja >out/configure.log || {
        cat out/configure.log
        exit 1
    }
    cmake --build out/build
}

print_known_red() {
    grep -s -A 8 '^test:' KNOWN-RED.txt || true
}

sources() {
    git ls-files --cached --others --exclude-standard "$@"
}

# Names from the platform's interfaces may only be used in platform/ and
# deploy/.
check_platform_names() {
    local names='X-Kumquatramp|op/config|op/evacuate|kv-watch|kv-range|kv-key'
    names+='|Server-(Limit|Leaving)|"KUMQUATRAMP_CONFIG"|CurrentRev|TrafficSplit|WarmupLeftMs'
    if git grep -n -E "$names" -- '*.cpp' '*.hpp' ':!platform/'; then
        echo "platform names are used outside platform/"
        exit 1
    fi
}

check() {
    check_platform_names
    sources '*.hpp' '*.cpp' | xargs clang-format --dry-run -Werror
    cmake -S . -B out/build -G Ninja >out/configure.log
    if ! sources '*.cpp' | xargs -P "$(nproc)" -n 4 cmake/lint.sh out/build \
        >out/tidy.log 2>&1; then
        cat out/tidy.log
        exit 1
    fi
    echo "formatter and linter: clean"
}

sanitize() {
    cmake -S . -B out/sanitize -G Ninja -DKUMQUATRAMP_SANITIZE=ON \
        -DKUMQUATRAMP_DECISIONS_ONLY=ON >out/configure.log
    cmake --build out/sanitize
    ctest --test-dir out/sanitize --output-on-failure -j "$(nproc)"
}

mkdir -p out
case "${1:-build}" in
setup) setup ;;
build) build ;;
demo)
    setup
    build
    tools/demo/run.sh out/build
    ;;
test)
    setup
    build
    print_known_red
    ctest --test-dir out/build --output-on-failure -j 4 -LE 'bench|known_red'
    ;;
bench)
    setup
    build
    print_known_red
    ctest --test-dir out/build --output-on-failure -L bench -LE known_red -V
    ;;
check) check ;;
sanitize) sanitize ;;
*)
    sed -n '2,11p' "$0"
    exit 2
    ;;
esac
