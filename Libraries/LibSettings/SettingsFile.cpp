#include "LibSettings/SettingsFile.h"

#include <fstream>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace bergamothook {

namespace {

using valijson::adapters::NlohmannJsonAdapter;

constexpr std::size_t MaxExcerptBytes = 120;

SettingsResult<std::string> readWholeFile(const std::string &File) {
  std::ifstream In(File, std::ios::binary);
  std::ostringstream Content;
  if (In)
    Content << In.rdbuf();
  if (!In)
    return SettingsProblem{SettingsError::Unreadable, File, "", "",
                           "a readable file"};
  return std::move(Content).str();
}

/// Converts the context of a valijson error, such as <root>["a"][0], to a JSON
/// pointer.
std::string jsonPointerOf(const valijson::ValidationResults::Error &Failure) {
  std::string Pointer;
  for (const auto &Component : Failure.context) {
    if (Component == "<root>")
      continue;
    std::string Name = Component.substr(1, Component.size() - 2);
    if (Name.size() >= 2 && Name.front() == '"')
      Name = Name.substr(1, Name.size() - 2);
    Pointer += "/" + Name;
  }
  return Pointer;
}

std::string excerptAt(const nlohmann::json &Document,
                      const std::string &Pointer) {
  nlohmann::json::json_pointer Location(Pointer);
  if (!Document.contains(Location))
    return "nothing";
  std::string Text = Document.at(Location).dump();
  if (Text.size() > MaxExcerptBytes)
    Text = Text.substr(0, MaxExcerptBytes) + "...";
  return Text;
}

SettingsProblem describeFailure(const std::string &File,
                                const nlohmann::json &Document,
                                valijson::ValidationResults &Results) {
  // valijson reports the innermost failure first, which is the most specific.
  valijson::ValidationResults::Error Failure;
  Results.popError(Failure);
  std::string Pointer = jsonPointerOf(Failure);
  return {SettingsError::SchemaViolation, File, Pointer.empty() ? "/" : Pointer,
          excerptAt(Document, Pointer), Failure.description};
}

} // namespace

SettingsResult<nlohmann::json> checkSettingsText(const std::string &File,
                                                 std::string_view Text,
                                                 std::string_view Schema) {
  auto Document = nlohmann::json::parse(Text, nullptr, false);
  if (Document.is_discarded())
    return SettingsProblem{SettingsError::NotJson, File, "", "", "JSON"};

  auto SchemaDocument = nlohmann::json::parse(Schema);
  valijson::Schema ParsedSchema;
  valijson::SchemaParser Parser;
  Parser.populateSchema(NlohmannJsonAdapter(SchemaDocument), ParsedSchema);
  valijson::Validator Validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults Results;
  if (!Validator.validate(ParsedSchema, NlohmannJsonAdapter(Document),
                          &Results))
    return describeFailure(File, Document, Results);
  return Document;
}

SettingsResult<nlohmann::json> readSettingsFile(const std::string &File,
                                                std::string_view Schema) {
  BOOST_OUTCOME_TRY(Text, readWholeFile(File));
  return checkSettingsText(File, Text, Schema);
}

SettingsResult<std::string> readSecretFile(const std::string &File) {
  BOOST_OUTCOME_TRY(Secret, readWholeFile(File));
  while (!Secret.empty() && (Secret.back() == '\n' || Secret.back() == '\r'))
    Secret.pop_back();
  if (Secret.empty())
    return SettingsProblem{SettingsError::Unreadable, File, "", "an empty file",
                           "a secret"};
  return Secret;
}

} // namespace bergamothook
