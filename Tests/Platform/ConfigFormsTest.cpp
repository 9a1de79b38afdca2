#include "ConfigEntry.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bergamothook;
using nlohmann::json;

namespace {

/// The forms that each field is given.
const std::vector<json> OddForms = {
    json(nullptr),
    json(""),
    json("odd"),
    json(0),
    json(-1),
    json(1e300),
    json(true),
    json(false),
    json::array(),
    json::object(),
    json::array({nullptr}),
    json::array({""}),
    json::array({json::object()}),
    json::object({{"odd", 1}}),
};

/// \returns the JSON pointers of all values below the root, at any depth.
std::vector<std::string> placesOf(const json &Value,
                                  const std::string &Place = "") {
  std::vector<std::string> Places;
  if (!Place.empty())
    Places.push_back(Place);
  if (Value.is_structured())
    for (const auto &[Name, Child] : Value.items())
      for (std::string &Below : placesOf(Child, Place + "/" + Name))
        Places.push_back(std::move(Below));
  return Places;
}

json &at(json &Entry, const std::string &Place) {
  return Entry[json::json_pointer(Place)];
}

void erase(json &Entry, const std::string &Place) {
  json::json_pointer Pointer(Place);
  json &Parent = Entry[Pointer.parent_pointer()];
  if (Parent.is_array())
    Parent.erase(std::stoul(Pointer.back()));
  else
    Parent.erase(Pointer.back());
}

/// \returns \p Entry as text, with the field at \p Place there twice.
std::string withTwice(json Entry, const std::string &Place,
                      const json &Second) {
  constexpr const char *Mark = "the second value";
  json::json_pointer Pointer(Place);
  json &Parent = Entry[Pointer.parent_pointer()];
  // Sorts behind the field, and no field has this name.
  const std::string SecondName = Pointer.back() + " again";
  Parent[SecondName] = Mark;
  std::string Text = Entry.dump();
  const std::string Written = json(SecondName).dump() + ":" + json(Mark).dump();
  return Text.replace(Text.find(Written), Written.size(),
                      json(Pointer.back()).dump() + ":" + Second.dump());
}

bool isText(const json &Object, const char *Name) {
  return Object.is_object() && Object.contains(Name) &&
         Object[Name].is_string() &&
         !Object[Name].get_ref<const std::string &>().empty();
}

/// Tells whether the readable words of \p Entry give \p Key to a team of \p
/// Name: an account of its own of what the reader has to find.
bool givesKey(const json &Entry, const std::string &Name,
              const std::string &Key) {
  if (!Entry.contains("tenants") || !Entry["tenants"].is_array())
    return false;
  for (const json &Team : Entry["tenants"])
    if (isText(Team, "name") && Team["name"] == Name &&
        Team.contains("apiKeys") && Team["apiKeys"].is_array() &&
        std::find(Team["apiKeys"].begin(), Team["apiKeys"].end(), json(Key)) !=
            Team["apiKeys"].end())
      return true;
  return false;
}

bool givesRoute(const json &Entry, const RelayRoute &Route) {
  if (!Entry.contains("routes") || !Entry["routes"].is_array())
    return false;
  for (const json &Each : Entry["routes"]) {
    if (!isText(Each, "host") || Each["host"] != Route.Host ||
        !isText(Each, "pathPrefix") || Each["pathPrefix"] != Route.PathPrefix)
      continue;
    if (Each.value("public", json(false)) != json(Route.IsPublic) ||
        Each.value("sticky", json(false)) != json(Route.HasPrompt))
      continue;
    return std::all_of(Route.Services.begin(), Route.Services.end(),
                       [&](const ServiceShare &Share) {
                         return Each.contains("service") &&
                                Each["service"] == Share.Service;
                       });
  }
  return false;
}

bool givesBudget(const json &Entry, const RelayTeam &Team) {
  for (const json &Each : Entry["tenants"]) {
    if (!isText(Each, "name") || Each["name"] != Team.Name)
      continue;
    if (!Each.contains("reserved"))
      return !Team.Budget;
    return Each["reserved"].is_number() && Each["reserved"] >= 0 &&
           Team.Budget &&
           static_cast<double>(*Team.Budget) <= Each["reserved"].get<double>();
  }
  return false;
}

struct Attempt {
  std::optional<std::string> Key;
  std::string Path;
};

const std::vector<Attempt> Attempts = {
    {"key", "/chat/"}, {"never-held", "/chat/"}, {"", "/chat/"},
    {{}, "/chat/"},    {"key", "/public/"},      {{}, "/public/"},
    {"key", "/none/"}};

/// \returns what is in force that \p Entry, whose text is \p Text, does not
/// give; empty if nothing is.
std::string findUngiven(const json &Entry, const std::string &Text) {
  auto Config = platform::parseManifest(Text);
  if (!Config)
    return "";
  for (const Attempt &Each : Attempts) {
    auto Credentials =
        Each.Key ? std::optional("Bearer " + *Each.Key) : std::nullopt;
    DecodedCall Decoded = platform::decodeCall(
        Config.value(), makeRequest(Credentials, Each.Path), RequestTime);
    std::string Name =
        Each.Path + " with \"" + Each.Key.value_or("none") + "\"";
    if (Decoded.RefusalStatus != 0)
      continue;
    const RelayCall &Call = Decoded.Call;
    if (!givesRoute(Entry, *Call.Route))
      return "a route for " + Name;
    if (Call.Team) {
      if (!givesKey(Entry, Call.Team->Name, Each.Key.value_or("")))
        return "a key for " + Name;
      if (!givesBudget(Entry, *Call.Team))
        return "a budget for " + Name;
    } else if (!Call.Route->IsPublic && Entry.contains("tenants")) {
      return "access for " + Name;
    }
  }
  return "";
}

} // namespace

// Guards against keys, routes and budgets that are in force by a form of a
// field that the reader does not know.
TEST_CASE("each field in each odd form: nothing is in force that the "
          "configuration does not give") {
  const json Entry = makeConfigEntry();
  REQUIRE(findUngiven(Entry, Entry.dump()) == "");
  for (const std::string &Place : placesOf(Entry)) {
    CAPTURE(Place);
    json Changed = Entry;
    erase(Changed, Place);
    CHECK(findUngiven(Changed, Changed.dump()) == "");
    for (const json &Form : OddForms) {
      CAPTURE(Form.dump());
      Changed = Entry;
      at(Changed, Place) = Form;
      CHECK(findUngiven(Changed, Changed.dump()) == "");
    }
  }
}

TEST_CASE("several fields in odd forms: nothing is in force that the "
          "configuration does not give") {
  constexpr int Cases = 4000;
  setenv("RC_PARAMS", ("seed=1 max_success=" + std::to_string(Cases)).c_str(),
         1);
  const json Entry = makeConfigEntry();
  CHECK(rc::check([&Entry] {
    json Changed = Entry;
    int Changes = *rc::gen::inRange(2, 6);
    for (int I = 0; I < Changes; ++I) {
      std::vector<std::string> Places = placesOf(Changed);
      if (Places.empty())
        break;
      const std::string Place = *rc::gen::elementOf(Places);
      std::size_t Form = *rc::gen::inRange<std::size_t>(0, OddForms.size() + 2);
      if (Form < OddForms.size())
        at(Changed, Place) = OddForms[Form];
      else if (Form == OddForms.size())
        erase(Changed, Place);
      else if (json &Same = at(Changed, Place);
               Same.is_array() && !Same.empty())
        Same.push_back(json(Same.front()));
    }
    std::string Ungiven = findUngiven(Changed, Changed.dump());
    if (!Ungiven.empty())
      RC_FAIL(Ungiven + ": " + Changed.dump());
  }));
}

TEST_CASE("a field that stands twice: the object is not in force") {
  const json Entry = makeConfigEntry();
  for (const std::string &Place : placesOf(Entry)) {
    json::json_pointer Pointer(Place);
    if (Entry[Pointer.parent_pointer()].is_array())
      continue;
    CAPTURE(Place);
    const std::string Text = withTwice(Entry, Place, Entry[Pointer]);
    auto Config = platform::parseManifest(Text);
    bool IsRoot = Pointer.parent_pointer().empty();
    CHECK(static_cast<bool>(Config) != IsRoot);
    if (Config)
      CHECK(Config.value()->Problems.count() > 0);
  }
  auto RefusalOfTwice = [&](const std::string &Place, const json &Second,
                            const std::string &Key) {
    auto Config = platform::parseManifest(withTwice(Entry, Place, Second));
    REQUIRE(Config);
    return platform::decodeCall(Config.value(), makeRequest("Bearer " + Key),
                                RequestTime)
        .RefusalStatus;
  };
  CHECK(RefusalOfTwice("/tenants/0/apiKeys", json::array({"other"}), "key") ==
        503);
  CHECK(RefusalOfTwice("/tenants/0/apiKeys", json::array({"other"}), "other") ==
        503);
  CHECK(RefusalOfTwice("/tenants/0/reserved", 9'000'000, "key") == 503);
  CHECK(RefusalOfTwice("/routes/0/service", "other", "key") == 503);
}

// Guards against a whole version being passed over, and a denial, for one part
// that can't be read.
TEST_CASE("what the readable parts of a configuration give is served, and only "
          "what they rule out is denied") {
  struct Row {
    const char *Place;
    json Form;
    unsigned ChatWithKey;
    unsigned ChatWithOther;
    unsigned Public;
  };
  constexpr unsigned Served = 0;
  const std::vector<Row> Rows = {
      {"/tenants", "none", 503, 503, Served},
      {"/tenants", nullptr, 503, 503, Served},
      {"/tenants", json::object(), 503, 503, Served},
      {"/tenants", json::array(), 401, 401, Served},
      {"/tenants/0", nullptr, 503, 503, Served},
      {"/tenants/0/name", 7, 503, 401, Served},
      {"/tenants/0/name", "", 503, 401, Served},
      {"/tenants/0/name", "a\r\nX-Other: 1", 503, 401, Served},
      {"/tenants/0/apiKeys", nullptr, 503, 503, Served},
      {"/tenants/0/apiKeys", "key", 503, 503, Served},
      {"/tenants/0/apiKeys", json::array(), 401, 401, Served},
      {"/tenants/0/apiKeys", json::array({""}), 401, 401, Served},
      {"/tenants/0/apiKeys", json::array({"key", 7}), Served, 503, Served},
      {"/tenants/0/priority", "high", Served, 401, Served},
      {"/tenants/0/reserved", "5000", 503, 401, Served},
      {"/tenants/0/reserved", nullptr, 503, 401, Served},
      {"/tenants/0/reserved", -1, 503, 401, Served},
      {"/tenants/0/reserved", 0, Served, 401, Served},
      {"/routes", nullptr, 503, 503, 503},
      {"/routes", json::array(), 404, 404, 404},
      {"/routes/0", nullptr, 503, 503, Served},
      {"/routes/0/host", nullptr, 503, 503, Served},
      {"/routes/0/pathPrefix", "chat", 503, 503, Served},
      {"/routes/0/routeKind", nullptr, 503, 503, Served},
      {"/routes/0/routeKind", "new_kind", Served, 401, Served},
      {"/routes/0/timeoutMs", "1000", Served, 401, Served},
      {"/routes/0/sloMs", nullptr, Served, 401, Served},
      {"/routes/0/priority", "low", Served, 401, Served},
      {"/routes/0/service", nullptr, 503, 503, Served},
      {"/routes/0/service", "other", 503, 503, Served},
      {"/routes/0/split", json::array(), 503, 503, Served},
      {"/routes/0/split", nullptr, 503, 503, Served},
      {"/routes/0/split",
       {{{"service", "engines"}, {"weight", 0}}},
       503,
       503,
       Served},
      {"/routes/0/split",
       {{{"service", "engines"}, {"weight", 2}}},
       Served,
       401,
       Served},
      {"/routes/0/attempts", 0, 503, 503, Served},
      {"/routes/0/public", nullptr, 503, 503, Served},
      {"/routes/0/public", "true", 503, 503, Served},
      {"/routes/0/sticky", nullptr, 503, 503, Served},
      {"/services", nullptr, 503, 503, 503},
      {"/services/0/engine", nullptr, 503, 503, 503},
      {"/services/0/engine/stride", "7", 503, 503, 503},
      {"/services/0/maxConns", nullptr, Served, 401, Served},
      {"/services/0/healthPath", 7, Served, 401, Served},
      {"/limits", nullptr, Served, 401, Served},
      {"/limits/maxBodyBytes", 0, Served, 401, Served},
  };
  for (const Row &Each : Rows) {
    CAPTURE(Each.Place);
    CAPTURE(Each.Form.dump());
    json Entry = makeConfigEntry();
    at(Entry, Each.Place) = Each.Form;
    CHECK(refusalOf(Entry, "Bearer key") == Each.ChatWithKey);
    CHECK(refusalOf(Entry, "Bearer other") == Each.ChatWithOther);
    CHECK(refusalOf(Entry, std::nullopt, "/public/") == Each.Public);
  }
}

TEST_CASE("parts of a configuration that contradict each other are not in "
          "force") {
  json Entry = makeConfigEntry();
  Entry["tenants"].push_back({{"name", "yards"}, {"apiKeys", {"key", "own"}}});
  CHECK(refusalOf(Entry, "Bearer key") == 503);
  CHECK(refusalOf(Entry, "Bearer own") == 0);
  CHECK(refusalOf(Entry, "Bearer other") == 401);
  Entry = makeConfigEntry();
  Entry["tenants"].push_back(
      {{"name", "parks"}, {"apiKeys", {"more"}}, {"reserved", 9'000'000}});
  CHECK(refusalOf(Entry, "Bearer key") == 503);
  CHECK(refusalOf(Entry, "Bearer more") == 503);
  Entry = makeConfigEntry();
  Entry["routes"].push_back(Entry["routes"][0]);
  Entry["routes"][2]["public"] = true;
  CHECK(refusalOf(Entry, "Bearer key") == 503);
  Entry = makeConfigEntry();
  Entry["services"].push_back({{"name", "engines"}});
  CHECK(refusalOf(Entry, "Bearer key") == 503);
}

TEST_CASE("a configuration of any number of problems keeps the first ones") {
  json Entry = makeConfigEntry();
  for (int I = 0; I < 1000; ++I)
    Entry["tenants"].push_back(I);
  auto Config = platform::parseManifest(Entry.dump());
  REQUIRE(Config);
  CHECK(Config.value()->Problems.count() == 1000);
  CHECK(Config.value()->Problems.first().size() == ConfigProblems::MaxKept);
  CHECK(Config.value()->Problems.first()[0].Place == "/tenants/1");
}
