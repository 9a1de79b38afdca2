#include "LibConfig/TemplateResolver.h"

#include "LibConfig/ObjectReader.h"
#include "LibConfig/TeamReader.h"

namespace bergamothook {

using nlohmann::json;

namespace {

constexpr int MaxTemplateDepth = 16;
constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxKeys = 16;
constexpr char ParameterField[] = "$param";

/// The value of a parameter and its source. A field whose parameter has no
/// value is omitted.
struct Argument {
  std::optional<json> Value;
  ValueSource Source;
};

using Arguments = std::map<std::string, Argument>;

bool isParameterReference(const json &Value) {
  return Value.is_object() && Value.size() == 1 &&
         Value.contains(ParameterField) && Value[ParameterField].is_string();
}

/// Merges settings into the resolved settings and records their sources.
class Merger {
public:
  Merger(ResolvedSettings &Resolved, ObjectKey Object,
         const Arguments &Bindings, bool WithSources)
      : Resolved(Resolved), Object(std::move(Object)), Bindings(Bindings),
        WithSources(WithSources) {}

  ConfigResult<void> merge(json &Into, const json &From,
                           const std::string &Pointer) {
    for (const auto &[Field, Value] : From.items()) {
      BOOST_OUTCOME_TRYV(this->mergeField(Into, Field, Value, Pointer));
    }
    return success();
  }

private:
  ConfigResult<void> mergeField(json &Into, const std::string &Field,
                                const json &Value, const std::string &Pointer) {
    std::string FieldPointer = Pointer + "/" + Field;
    if (isParameterReference(Value)) {
      auto Known = this->Bindings.find(Value[ParameterField]);
      if (Known == this->Bindings.end())
        return ConfigProblem{ConfigError::UnknownParameter, this->Object,
                             "/settings" + FieldPointer, Value.dump(),
                             "a parameter of the template"};
      if (Known->second.Value)
        this->set(Into, Field, *Known->second.Value, FieldPointer,
                  Known->second.Source);
      return success();
    }
    if (Value.is_object()) {
      json &Inner = Into[Field];
      if (!Inner.is_object())
        Inner = json::object();
      return this->merge(Inner, Value, FieldPointer);
    }
    this->set(Into, Field, Value, FieldPointer,
              {this->Object, "/settings" + FieldPointer});
    return success();
  }

  void set(json &Into, const std::string &Field, const json &Value,
           const std::string &Pointer, const ValueSource &Source) {
    Into[Field] = Value;
    if (this->WithSources)
      this->Resolved.Sources[Pointer] = Source;
  }

  ResolvedSettings &Resolved;
  ObjectKey Object;
  const Arguments &Bindings;
  bool WithSources;
};

void addDefaultSources(const json &Settings, const std::string &Pointer,
                       std::map<std::string, ValueSource> &Sources) {
  for (const auto &[Field, Value] : Settings.items()) {
    std::string FieldPointer = Pointer + "/" + Field;
    if (Value.is_object())
      addDefaultSources(Value, FieldPointer, Sources);
    else
      Sources[FieldPointer] = {std::nullopt, FieldPointer};
  }
}

/// The fields of a team or a template.
struct Layer {
  std::string Extends;
  json Arguments;
  json Parameters;
  json Settings;
};

ConfigResult<Layer> readLayer(const ObjectKey &Name, const json &Value) {
  detail::ReadState State{Name, std::nullopt};
  detail::ObjectReader Reader(State, Value, "");
  Layer Parsed;
  bool IsTeam = Name.Kind == ObjectKind::Team;
  Parsed.Extends =
      Reader.textOr(IsTeam ? "template" : "extends", MaxNameBytes, "");
  Parsed.Arguments = Reader.rawObject("arguments");
  Parsed.Settings = Reader.rawObject("settings");
  if (IsTeam)
    Reader.hashes("keys", MaxKeys);
  else
    Parsed.Parameters = Reader.rawObject("parameters");
  Reader.finish();
  if (State.Problem)
    return std::move(*State.Problem);
  return Parsed;
}

/// Determines the values of the parent's parameters for one child.
ConfigResult<Arguments> bindArguments(const ObjectKey &Parent,
                                      const Layer &ParentLayer,
                                      const ObjectKey &Child,
                                      const Layer &ChildLayer,
                                      const Arguments &ChildBindings) {
  Arguments Bound;
  for (const auto &[Name, Default] : ParentLayer.Parameters.items()) {
    Argument &Entry = Bound[Name];
    if (!Default.is_null())
      Entry.Value = Default;
    Entry.Source = {Parent, "/parameters/" + Name};
  }
  for (const auto &[Name, Value] : ChildLayer.Arguments.items()) {
    auto Known = Bound.find(Name);
    std::string Pointer = "/arguments/" + Name;
    if (Known == Bound.end())
      return ConfigProblem{ConfigError::UnknownParameter, Child, Pointer, Name,
                           "a parameter of " + toString(Parent)};
    if (!isParameterReference(Value)) {
      Known->second = {Value, {Child, Pointer}};
      continue;
    }
    auto Outer = ChildBindings.find(Value[ParameterField]);
    if (Outer == ChildBindings.end())
      return ConfigProblem{ConfigError::UnknownParameter, Child, Pointer,
                           Value.dump(), "a parameter of " + toString(Child)};
    if (Outer->second.Value)
      Known->second = Outer->second;
  }
  if (Child.Kind != ObjectKind::Team)
    return Bound;
  for (const auto &[Name, Entry] : Bound)
    if (!Entry.Value)
      return ConfigProblem{
          ConfigError::MissingArgument, Child, "/arguments/" + Name, "",
          "a value, since " + toString(Parent) + " gives no default"};
  return Bound;
}

/// Resolves one object on top of the templates that it extends.
class Resolution {
public:
  Resolution(const ObjectLookup &Lookup, bool WithSources)
      : Lookup(Lookup), WithSources(WithSources) {}

  ConfigResult<void> resolve(const ObjectKey &Name, const Layer &Current,
                             const Arguments &Bindings, int Depth) {
    if (Depth > MaxTemplateDepth)
      return ConfigProblem{
          ConfigError::TemplateTooDeep, Name, "/extends", Current.Extends,
          "at most " + std::to_string(MaxTemplateDepth) + " templates"};
    if (!Current.Extends.empty()) {
      BOOST_OUTCOME_TRYV(this->resolveParent(Name, Current, Bindings, Depth));
    }
    Merger SettingsMerger(this->Resolved, Name, Bindings, this->WithSources);
    return SettingsMerger.merge(this->Resolved.Settings, Current.Settings, "");
  }

  ResolvedSettings Resolved;

private:
  ConfigResult<void> resolveParent(const ObjectKey &Name, const Layer &Current,
                                   const Arguments &Bindings, int Depth) {
    ObjectKey ParentName{ObjectKind::Template, Current.Extends};
    const json *Found = this->Lookup(ParentName);
    if (!Found)
      return ConfigProblem{ConfigError::UnknownTemplate, Name,
                           Name.Kind == ObjectKind::Team ? "/template"
                                                         : "/extends",
                           Current.Extends, "the name of a template"};
    BOOST_OUTCOME_TRY(Parent, readLayer(ParentName, *Found));
    BOOST_OUTCOME_TRY(
        Bound, bindArguments(ParentName, Parent, Name, Current, Bindings));
    return this->resolve(ParentName, Parent, Bound, Depth + 1);
  }

  const ObjectLookup &Lookup;
  bool WithSources;
};

} // namespace

ConfigResult<ResolvedSettings> resolveSettings(const ObjectKey &Name,
                                               const ObjectLookup &Lookup,
                                               bool WithSources) {
  const json *Found = Lookup(Name);
  if (!Found)
    return ConfigProblem{ConfigError::UnknownObject, Name, "", "", ""};
  BOOST_OUTCOME_TRY(Current, readLayer(Name, *Found));
  Arguments Bindings;
  for (const auto &[Parameter, Default] : Current.Parameters.items())
    Bindings[Parameter] = {Default.is_null() ? std::nullopt
                                             : std::optional<json>(Default),
                           {Name, "/parameters/" + Parameter}};
  Resolution Resolver(Lookup, WithSources);
  Resolver.Resolved.Settings = detail::defaultSettings();
  if (WithSources)
    addDefaultSources(Resolver.Resolved.Settings, "",
                      Resolver.Resolved.Sources);
  BOOST_OUTCOME_TRYV(Resolver.resolve(Name, Current, Bindings, 0));
  return std::move(Resolver.Resolved);
}

std::string templateOf(const ObjectKey &Name, const json &Value) {
  const char *Field = Name.Kind == ObjectKind::Team ? "template" : "extends";
  if (!Value.is_object() || !Value.contains(Field) || !Value[Field].is_string())
    return {};
  return Value[Field];
}

} // namespace bergamothook
