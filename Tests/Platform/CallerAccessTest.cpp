#include "ConfigEntry.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using nlohmann::json;

// Guards against calls with any key being accepted after the operator removes
// the last team.
TEST_CASE("a configuration without teams is not one without keys") {
  json Entry = makeConfigEntry();
  CHECK(refusalOf(Entry, "Bearer key") == 0);
  for (const json &Teams : {json::array(), json::object(), json(nullptr)}) {
    CAPTURE(Teams.dump());
    Entry["tenants"] = Teams;
    CHECK(refusalOf(Entry, "Bearer key") != 0);
    CHECK(refusalOf(Entry, "Bearer never-held") != 0);
    CHECK(refusalOf(Entry, "Bearer ") != 0);
    CHECK(refusalOf(Entry, std::nullopt) != 0);
    CHECK(refusalOf(Entry, std::nullopt, "/public/") == 0);
  }
  Entry["tenants"] = json::array();
  CHECK(refusalOf(Entry, "Bearer key") == 401);
  Entry.erase("tenants");
  CHECK(refusalOf(Entry, std::nullopt) == 0);
  CHECK(refusalOf(Entry, "Bearer never-held") == 0);
}

// Guards against an empty text in the list of keys letting requests without a
// key in.
TEST_CASE("a request without a key does not match an empty key") {
  json Entry = makeConfigEntry();
  Entry["tenants"][0]["apiKeys"] = {"", "key"};
  CHECK(refusalOf(Entry, "Bearer key") == 0);
  for (const std::optional<std::string> &Credentials :
       {std::optional<std::string>(), std::optional<std::string>(""),
        std::optional<std::string>("Bearer"),
        std::optional<std::string>("Bearer "),
        std::optional<std::string>("Bearer   "),
        std::optional<std::string>("Basic a2V5"),
        std::optional<std::string>("key")}) {
    CAPTURE(Credentials.value_or("none"));
    CHECK(refusalOf(Entry, Credentials) == 401);
  }
}
