// scenario_runner: runs scenario files under virtual time and prints the result
// of each run.
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <scenarios/scenario_run.hpp>
#include <sstream>
#include <string_view>

namespace
{

using namespace kumquatramp::scenarios;

/// Runs one file; a seed of 0 keeps the seed of the file. Returns true if the
/// scenario passed.
bool run_file(std::string const& path, std::uint64_t seed)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    auto read = parse_scenario(path, text.str());
    if (!file || !read)
    {
        std::printf("%s\n", file ? read.error().detail.c_str() : path.c_str());
        return false;
    }
    if (seed != 0)
    {
        read.value().seed = seed;
    }
    auto const verdict = run_scenario(read.value());
    if (!verdict)
    {
        std::printf("%s\n", verdict.error().detail.c_str());
        return false;
    }
    auto const& seen = verdict.value();
    std::printf("%s seed %llu: %s, %zu requests, %zu sub-requests, mean "
                "coverage %.4f\n",
                path.c_str(),
                static_cast<unsigned long long>(read.value().seed),
                seen.faults.empty() ? "passed" : "FAILED", seen.requests,
                seen.executions, seen.coverage);
    for (auto const& fault : seen.faults)
    {
        std::printf("    %s\n", fault.c_str());
    }
    return seen.faults.empty();
}

} // namespace

int main(int argc, char** argv)
{
    std::uint64_t seed = 0;
    std::uint64_t seeds = 1;
    bool passed = true;
    int files = 0;
    for (int i = 1; i < argc; ++i)
    {
        std::string_view const word = argv[i];
        if ((word == "--seed" || word == "--seeds") && i + 1 < argc)
        {
            auto const number = std::strtoull(argv[++i], nullptr, 10);
            (word == "--seed" ? seed : seeds) = number;
            continue;
        }
        ++files;
        for (std::uint64_t more = 0; more < seeds; ++more)
        {
            auto const chosen = seeds > 1 ? seed + more + 1 : seed;
            passed = run_file(argv[i], chosen) && passed;
        }
    }
    if (files == 0)
    {
        std::printf(
            "usage: scenario_runner [--seed N | --seeds COUNT] FILE...\n");
        return 2;
    }
    return passed ? 0 : 1;
}
