#include "LibSettings/SettingsFile.h"

#include <doctest/doctest.h>

using namespace bergamothook;

namespace {

const char *Schema = R"({
  "type": "object", "additionalProperties": false, "required": ["port"],
  "properties": {
    "port": {"type": "integer", "minimum": 1, "maximum": 65535},
    "peers": {"type": "array", "items": {"type": "string"}}}})";

SettingsProblem problemOf(const char *Text) {
  return checkSettingsText("router.json", Text, Schema).error();
}

} // namespace

TEST_CASE("valid settings pass") {
  auto Document =
      checkSettingsText("f", R"({"port": 80, "peers": ["a"]})", Schema);
  REQUIRE(Document);
  CHECK(Document.value()["port"] == 80);
}

TEST_CASE(
    "each problem has the location, the value found and the allowed values") {
  CHECK(problemOf("{").Code == SettingsError::NotJson);
  SettingsProblem Range = problemOf(R"({"port": 70000})");
  CHECK(Range.Code == SettingsError::SchemaViolation);
  CHECK(Range.Pointer == "/port");
  CHECK(Range.Found == "70000");
  CHECK_FALSE(Range.Allowed.empty());
  SettingsProblem Type = problemOf(R"({"port": 1, "peers": ["a", 5]})");
  CHECK(Type.Pointer == "/peers/1");
  CHECK(Type.Found == "5");
  SettingsProblem Unknown = problemOf(R"({"port": 1, "prot": 2})");
  CHECK(Unknown.Code == SettingsError::SchemaViolation);
  CHECK(Unknown.toText().find("prot") != std::string::npos);
  CHECK(Unknown.toText().find("router.json") == 0);
}

TEST_CASE("reading a missing file returns SettingsError::Unreadable") {
  auto Document = readSettingsFile("/nonexistent/router.json", Schema);
  CHECK(Document.error().Code == SettingsError::Unreadable);
}
