#include "LibSettings/CommandLine.h"

#include <doctest/doctest.h>

using namespace bergamothook;

namespace {

std::optional<CommandLine> parse(std::vector<std::string> Words, int &ExitCode,
                                 bool StopsAtFirstWord = false) {
  CommandLineSpec Spec{"program",
                       "help\n",
                       {{"config", true}, {"check", false}},
                       StopsAtFirstWord};
  std::vector<char *> Pointers;
  Words.insert(Words.begin(), "program");
  for (std::string &Word : Words)
    Pointers.push_back(Word.data());
  Pointers.push_back(nullptr);
  return readCommandLine(Spec, static_cast<int>(Words.size()), Pointers.data(),
                         ExitCode);
}

} // namespace

TEST_CASE("options and operands are separated") {
  int ExitCode = 0;
  auto Line = parse({"--config", "f.json", "--check", "word"}, ExitCode);
  REQUIRE(Line);
  CHECK(Line->value("config") == "f.json");
  CHECK(Line->has("check"));
  CHECK(Line->Words == std::vector<std::string>{"word"});
}

TEST_CASE("options after a subcommand are left to it") {
  int ExitCode = 0;
  auto Line = parse({"--config", "f", "apply", "--wait"}, ExitCode, true);
  REQUIRE(Line);
  CHECK(Line->Words == std::vector<std::string>{"apply", "--wait"});
}

TEST_CASE("an unknown option or a missing value is a usage error") {
  int ExitCode = 0;
  CHECK_FALSE(parse({"--confg", "f"}, ExitCode));
  CHECK(ExitCode == ExitUsage);
  CHECK_FALSE(parse({"--config"}, ExitCode));
  CHECK(ExitCode == ExitUsage);
  CHECK_FALSE(parse({"--help"}, ExitCode));
  CHECK(ExitCode == 0);
}
