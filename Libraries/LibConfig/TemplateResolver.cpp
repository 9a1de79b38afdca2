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

/// A parameter's value with the place that states it. A missing value leaves
/// out the field that uses it.
struct Argument {
  std::optional<json> Value;
  ValueSource Source;
};

using Arguments = std::map<std::string, Argument>;

bool isParameterUse(const json &Value) {
  return Value.is_object() && Value.size() == 1 &&
         Value.contains(ParameterField) && Value[ParameterField].is_string();
}

/// Merges settings over settings, and keeps the sources up to date.
class Merger {
public:
  Merger(ResolvedSettings &Target, ObjectKey Object, const Arguments &Given,
         bool WithSources)
      : Target(Target), Object(std::move(Object)), Given(Given),
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
    std::string Here = Pointer + "/" + Field;
    if (isParameterUse(Value)) {
      auto Known = this->Given.find(Value[ParameterField]);
      if (Known == this->Given.end())
        return ConfigProblem{ConfigError::UnknownParameter, this->Object,
                             "/settings" + Here, Value.dump(),
                             "a parameter of the template"};
      if (Known->second.Value)
        this->set(Into, Field, *Known->second.Value, Here,
                  Known->second.Source);
      return success();
    }
    if (Value.is_object()) {
      json &Inner = Into[Field];
      if (!Inner.is_object())
        Inner = json::object();
      return this->merge(Inner, Value, Here);
    }
    this->set(Into, Field, Value, Here, {this->Object, "/settings" + Here});
    return success();
  }

  void set(json &Into, const std::string &Field, const json &Value,
           const std::string &Pointer, const ValueSource &Source) {
    Into[Field] = Value;
    if (this->WithSources)
      this->Target.Sources[Pointer] = Source;
  }

  ResolvedSettings &Target;
  ObjectKey Object;
  const Arguments &Given;
  bool WithSources;
};

void addDefaultSources(const json &Settings, const std::string &Pointer,
                       std::map<std::string, ValueSource> &Sources) {
  for (const auto &[Field, Value] : Settings.items()) {
    std::string Here = Pointer + "/" + Field;
    if (Value.is_object())
      addDefaultSources(Value, Here, Sources);
    else
      Sources[Here] = {std::nullopt, Here};
  }
}

/// The parts of a team or a template.
struct Layer {
  std::string Extends;
  json Arguments;
  json Parameters;
  json Settings;
};

ConfigResult<Layer> readLayer(const ObjectKey &Name, const json &Value) {
  detail::ReadState State{Name, std::nullopt};
  detail::ObjectReader Reader(State, Value, "");
  Layer Read;
  bool IsTeam = Name.Kind == ObjectKind::Team;
  Read.Extends =
      Reader.textOr(IsTeam ? "template" : "extends", MaxNameBytes, "");
  Read.Arguments = Reader.rawObject("arguments");
  Read.Settings = Reader.rawObject("settings");
  if (IsTeam)
    Reader.hashes("keys", MaxKeys);
  else
    Read.Parameters = Reader.rawObject("parameters");
  Reader.finish();
  if (State.Problem)
    return std::move(*State.Problem);
  return Read;
}

/// Works out the values that the parent's parameters have for this child.
ConfigResult<Arguments> bindArguments(const ObjectKey &Parent,
                                      const Layer &Declared,
                                      const ObjectKey &Child, const Layer &User,
                                      const Arguments &OfChild) {
  Arguments Bound;
  for (const auto &[Name, Default] : Declared.Parameters.items()) {
    Argument &Made = Bound[Name];
    if (!Default.is_null())
      Made.Value = Default;
    Made.Source = {Parent, "/parameters/" + Name};
  }
  for (const auto &[Name, Value] : User.Arguments.items()) {
    auto Known = Bound.find(Name);
    std::string Pointer = "/arguments/" + Name;
    if (Known == Bound.end())
      return ConfigProblem{ConfigError::UnknownParameter, Child, Pointer, Name,
                           "a parameter of " + toString(Parent)};
    if (!isParameterUse(Value)) {
      Known->second = {Value, {Child, Pointer}};
      continue;
    }
    auto Outer = OfChild.find(Value[ParameterField]);
    if (Outer == OfChild.end())
      return ConfigProblem{ConfigError::UnknownParameter, Child, Pointer,
                           Value.dump(), "a parameter of " + toString(Child)};
    if (Outer->second.Value)
      Known->second = Outer->second;
  }
  if (Child.Kind != ObjectKind::Team)
    return Bound;
  for (const auto &[Name, Made] : Bound)
    if (!Made.Value)
      return ConfigProblem{
          ConfigError::MissingArgument, Child, "/arguments/" + Name, "",
          "a value, since " + toString(Parent) + " gives no default"};
  return Bound;
}

/// Resolves one object after the templates that it extends.
class Resolution {
public:
  Resolution(const ObjectLookup &Lookup, bool WithSources)
      : Lookup(Lookup), WithSources(WithSources) {}

  ConfigResult<void> resolve(const ObjectKey &Name, const Layer &Present,
                             const Arguments &Given, int Depth) {
    if (Depth > MaxTemplateDepth)
      return ConfigProblem{
          ConfigError::TemplateTooDeep, Name, "/extends", Present.Extends,
          "at most " + std::to_string(MaxTemplateDepth) + " templates"};
    if (!Present.Extends.empty()) {
      BOOST_OUTCOME_TRYV(this->resolveParent(Name, Present, Given, Depth));
    }
    Merger Over(this->Made, Name, Given, this->WithSources);
    return Over.merge(this->Made.Settings, Present.Settings, "");
  }

  ResolvedSettings Made;

private:
  ConfigResult<void> resolveParent(const ObjectKey &Name, const Layer &Present,
                                   const Arguments &Given, int Depth) {
    ObjectKey ParentName{ObjectKind::Template, Present.Extends};
    const json *Found = this->Lookup(ParentName);
    if (!Found)
      return ConfigProblem{ConfigError::UnknownTemplate, Name,
                           Name.Kind == ObjectKind::Team ? "/template"
                                                         : "/extends",
                           Present.Extends, "the name of a template"};
    BOOST_OUTCOME_TRY(Parent, readLayer(ParentName, *Found));
    BOOST_OUTCOME_TRY(Bound,
                      bindArguments(ParentName, Parent, Name, Present, Given));
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
  BOOST_OUTCOME_TRY(Present, readLayer(Name, *Found));
  Arguments Given;
  for (const auto &[Parameter, Default] : Present.Parameters.items())
    Given[Parameter] = {Default.is_null() ? std::nullopt
                                          : std::optional<json>(Default),
                        {Name, "/parameters/" + Parameter}};
  Resolution Run(Lookup, WithSources);
  Run.Made.Settings = detail::defaultSettings();
  if (WithSources)
    addDefaultSources(Run.Made.Settings, "", Run.Made.Sources);
  BOOST_OUTCOME_TRYV(Run.resolve(Name, Present, Given, 0));
  return std::move(Run.Made);
}

std::string templateOf(const ObjectKey &Name, const json &Value) {
  const char *Field = Name.Kind == ObjectKind::Team ? "template" : "extends";
  if (!Value.is_object() || !Value.contains(Field) || !Value[Field].is_string())
    return {};
  return Value[Field];
}

} // namespace bergamothook
