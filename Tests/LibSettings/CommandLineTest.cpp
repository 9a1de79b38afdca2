#include "LibSettings/CommandLine.h"

#include <doctest/doctest.h>

using namespace bergamothook;

namespace {

std::optional<CommandLine> read(std::vector<std::string> Words, int &ExitCode,
                                bool EndsAtFirstWord = false) {
  CommandLineSpec Rules{"program",
                        "help\n",
                        {{"config", true}, {"check", false}},
                        EndsAtFirstWord};
  std::vector<char *> Pointers;
  Words.insert(Words.begin(), "program");
  for (std::string &Word : Words)
    Pointers.push_back(Word.data());
  Pointers.push_back(nullptr);
  return readCommandLine(Rules, static_cast<int>(Words.size()), Pointers.data(),
                         ExitCode);
}

} // namespace

TEST_CASE("options and words are told apart") {
  int ExitCode = 0;
  auto Line = read({"--config", "f.json", "--check", "word"}, ExitCode);
  REQUIRE(Line);
  CHECK(Line->value("config") == "f.json");
  CHECK(Line->has("check"));
  CHECK(Line->Words == std::vector<std::string>{"word"});
}

TEST_CASE("options behind a command stay with it") {
  int ExitCode = 0;
  auto Line = read({"--config", "f", "apply", "--wait"}, ExitCode, true);
  REQUIRE(Line);
  CHECK(Line->Words == std::vector<std::string>{"apply", "--wait"});
}

TEST_CASE("an unknown option or a missing value is a usage error") {
  int ExitCode = 0;
  CHECK_FALSE(read({"--confg", "f"}, ExitCode));
  CHECK(ExitCode == ExitUsage);
  CHECK_FALSE(read({"--config"}, ExitCode));
  CHECK(ExitCode == ExitUsage);
  CHECK_FALSE(read({"--help"}, ExitCode));
  CHECK(ExitCode == 0);
}
