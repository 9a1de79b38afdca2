#include "LibConfig/ObjectReader.h"

#include <algorithm>

namespace bergamothook::detail {

using nlohmann::json;

namespace {

constexpr std::size_t MaxExcerptBytes = 80;

const json &emptyObject() {
  static const json Empty = json::object();
  return Empty;
}

std::string excerpt(const json &Value) {
  std::string Text = Value.dump(-1, ' ', true, json::error_handler_t::replace);
  if (Text.size() > MaxExcerptBytes)
    Text = Text.substr(0, MaxExcerptBytes) + "...";
  return Text;
}

} // namespace

void ReadState::fail(ConfigError Error, std::string Pointer, std::string Found,
                     std::string Allowed) {
  if (!this->Problem)
    this->Problem = ConfigProblem{Error, this->Object, std::move(Pointer),
                                  std::move(Found), std::move(Allowed)};
}

ObjectReader::ObjectReader(ReadState &State, const json &Value,
                           std::string Pointer)
    : State(&State), Value(&Value), Pointer(std::move(Pointer)) {
  if (Value.is_object())
    return;
  State.fail(ConfigError::BadValue, this->Pointer, excerpt(Value), "an object");
  this->Value = &emptyObject();
}

std::string ObjectReader::pointerTo(const char *Field) const {
  return this->Pointer + "/" + Field;
}

bool ObjectReader::has(const char *Field) const {
  return this->Value->contains(Field);
}

const json *ObjectReader::find(const char *Field, bool IsRequired,
                               const char *Allowed) {
  this->ReadFields.emplace_back(Field);
  auto Known = this->Value->find(Field);
  if (Known != this->Value->end())
    return &*Known;
  if (IsRequired)
    this->State->fail(ConfigError::MissingField, this->pointerTo(Field), "",
                      Allowed);
  return nullptr;
}

std::int64_t ObjectReader::integer(const char *Field, std::int64_t Min,
                                   std::int64_t Max) {
  const json *Found = this->find(Field, true, "an integer");
  if (!Found)
    return 0;
  bool IsInRange =
      Found->is_number_unsigned()
          ? Found->get<std::uint64_t>() <= static_cast<std::uint64_t>(Max) &&
                Found->get<std::int64_t>() >= Min
          : Found->is_number_integer() && Found->get<std::int64_t>() >= Min &&
                Found->get<std::int64_t>() <= Max;
  if (IsInRange)
    return Found->get<std::int64_t>();
  this->State->fail(
      ConfigError::BadValue, this->pointerTo(Field), excerpt(*Found),
      "an integer from " + std::to_string(Min) + " to " + std::to_string(Max));
  return 0;
}

Duration ObjectReader::milliseconds(const char *Field, Duration Min,
                                    Duration Max) {
  using std::chrono::milliseconds;
  auto Count = this->integer(
      Field, std::chrono::duration_cast<milliseconds>(Min).count(),
      std::chrono::duration_cast<milliseconds>(Max).count());
  return milliseconds(Count);
}

bool ObjectReader::boolean(const char *Field) {
  const json *Found = this->find(Field, true, "true or false");
  if (!Found)
    return false;
  if (Found->is_boolean())
    return Found->get<bool>();
  this->State->fail(ConfigError::BadValue, this->pointerTo(Field),
                    excerpt(*Found), "true or false");
  return false;
}

std::string ObjectReader::text(const char *Field, std::size_t MaxBytes) {
  const json *Found = this->find(Field, true, "a string");
  if (!Found)
    return {};
  if (Found->is_string() &&
      Found->get_ref<const std::string &>().size() <= MaxBytes)
    return Found->get<std::string>();
  this->State->fail(
      ConfigError::BadValue, this->pointerTo(Field), excerpt(*Found),
      "a string of at most " + std::to_string(MaxBytes) + " bytes");
  return {};
}

std::string ObjectReader::textOr(const char *Field, std::size_t MaxBytes,
                                 std::string Default) {
  this->ReadFields.emplace_back(Field);
  return this->has(Field) ? this->text(Field, MaxBytes) : Default;
}

std::vector<std::string> ObjectReader::texts(const char *Field,
                                             std::size_t MaxEntries,
                                             std::size_t MaxBytes) {
  const json *Found = this->find(Field, true, "an array of strings");
  if (!Found)
    return {};
  auto IsText = [&](const json &Entry) {
    return Entry.is_string() &&
           Entry.get_ref<const std::string &>().size() <= MaxBytes;
  };
  if (Found->is_array() && Found->size() <= MaxEntries &&
      std::all_of(Found->begin(), Found->end(), IsText))
    return Found->get<std::vector<std::string>>();
  this->State->fail(
      ConfigError::BadValue, this->pointerTo(Field), excerpt(*Found),
      "at most " + std::to_string(MaxEntries) + " strings of at most " +
          std::to_string(MaxBytes) + " bytes");
  return {};
}

std::vector<Sha256> ObjectReader::hashes(const char *Field,
                                         std::size_t MaxEntries) {
  if (!this->has(Field)) {
    this->ReadFields.emplace_back(Field);
    return {};
  }
  std::vector<Sha256> Hashes;
  for (const auto &Text : this->texts(Field, MaxEntries, 2 * Sha256::Size)) {
    auto Hash = sha256FromHex(Text);
    if (Hash)
      Hashes.push_back(*Hash);
    else
      this->State->fail(ConfigError::BadValue, this->pointerTo(Field), Text,
                        "SHA-256 hashes of 64 hexadecimal digits");
  }
  return Hashes;
}

ObjectReader ObjectReader::object(const char *Field) {
  const json *Found = this->find(Field, true, "an object");
  return {*this->State, Found ? *Found : emptyObject(), this->pointerTo(Field)};
}

std::vector<ObjectReader> ObjectReader::objects(const char *Field,
                                                std::size_t MaxEntries) {
  std::vector<ObjectReader> Readers;
  const json *Found = this->find(Field, false, "");
  if (!Found)
    return Readers;
  if (!Found->is_array() || Found->size() > MaxEntries) {
    this->State->fail(
        ConfigError::BadValue, this->pointerTo(Field), excerpt(*Found),
        "an array of at most " + std::to_string(MaxEntries) + " objects");
    return Readers;
  }
  for (std::size_t Index = 0; Index < Found->size(); ++Index)
    Readers.emplace_back(*this->State, (*Found)[Index],
                         this->pointerTo(Field) + "/" + std::to_string(Index));
  return Readers;
}

json ObjectReader::rawObject(const char *Field) {
  const json *Found = this->find(Field, false, "");
  if (!Found)
    return json::object();
  if (Found->is_object())
    return *Found;
  this->State->fail(ConfigError::BadValue, this->pointerTo(Field),
                    excerpt(*Found), "an object");
  return json::object();
}

void ObjectReader::finish() {
  for (const auto &Entry : this->Value->items()) {
    const std::string &Field = Entry.key();
    if (std::find(this->ReadFields.begin(), this->ReadFields.end(), Field) !=
        this->ReadFields.end())
      continue;
    std::string Allowed;
    for (const auto &Known : this->ReadFields)
      Allowed += (Allowed.empty() ? "" : ", ") + Known;
    this->State->fail(ConfigError::UnknownField, this->Pointer + "/" + Field,
                      Field, Allowed);
  }
}

} // namespace bergamothook::detail
