#include "LibConfig/ConfigFold.h"
#include "LibConfig/OperatorAuthority.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Folds changes as if each were the next record of the stream.
struct Publisher {
  ConfigVerdict publish(const std::string &Edits, std::uint64_t Base) {
    return this->apply(this->make(Edits, Base));
  }

  ConfigVerdict publish(const std::string &Edits) {
    return this->publish(Edits, this->Fold.revision().Value);
  }

  StreamRecord make(const std::string &Edits, std::uint64_t Base) {
    ConfigChange Change;
    Change.Id = {9, ++this->LastId};
    Change.Base = Revision{Base};
    Change.Author = "ana";
    Change.Edits = parseEdits(Edits).value();
    return recordOfChange(Change, {HostId{1}, 1});
  }

  ConfigVerdict apply(const StreamRecord &Record) {
    RecordPosition Here{Offset{this->NextOffset++}, 0};
    return this->Fold.apply(Record, Here).value();
  }

  ConfigFold Fold;
  std::uint64_t LastId = 0;
  std::uint64_t NextOffset = 0;
};

const std::string TokenHash = toHex(sha256("secret"));

const std::string Standard = R"({
  "template/standard": {
    "parameters": {"rank": 5, "models": null},
    "settings": {"priority": {"$param": "rank"}, "models": {"$param": "models"},
                 "classes": {"quick": {"deadlineMilliseconds": 2000}}}},
  "template/field": {
    "extends": "standard", "parameters": {"models": null},
    "arguments": {"rank": 7, "models": {"$param": "models"}}},
  "team/parks": {"template": "field", "arguments": {"models": ["a", "b"]},
                 "settings": {"classes": {"order": {"maxTokens": 64}}},
                 "keys": [")" +
                             TokenHash + R"("]}})";

ConfigError errorOf(const ConfigVerdict &Verdict) {
  REQUIRE(Verdict.Problem);
  return Verdict.Problem->Error;
}

} // namespace

TEST_CASE("templates, parameters and own settings make the effective team") {
  Publisher Ops;
  REQUIRE(Ops.publish(Standard).IsAccepted);
  ConfigSnapshot Config = Ops.Fold.snapshot();
  const EffectiveTeam *Team = Config.teamOfToken("secret");
  REQUIRE(Team);
  CHECK(Team->Name == "parks");
  CHECK(Team->Priority == 7);
  CHECK(Team->allowsModel(idOfName<ModelId>("b")));
  CHECK_FALSE(Team->allowsModel(idOfName<ModelId>("c")));
  CHECK(Team->classSettings(WorkClass::QuickAnswer).Deadline == 2s);
  CHECK(Team->classSettings(WorkClass::Order).MaxTokens == 64);
  CHECK_FALSE(Team->classSettings(WorkClass::Order).IsRepeatable);
  CHECK(Team->Budget.Account == "parks");
  CHECK(Config.teamOfToken("other") == nullptr);
}

TEST_CASE("the source of every value is told") {
  Publisher Ops;
  REQUIRE(Ops.publish(Standard).IsAccepted);
  auto Explained = Ops.Fold.explain("parks");
  REQUIRE(Explained);
  const auto &Sources = Explained.value().Sources;
  CHECK(Sources.at("/priority").Object->Name == "field");
  CHECK(Sources.at("/priority").Pointer == "/arguments/rank");
  CHECK(Sources.at("/models").Object->Name == "parks");
  CHECK(Sources.at("/classes/quick/deadlineMilliseconds").Object->Name ==
        "standard");
  CHECK_FALSE(Sources.at("/weight").Object);
  CHECK(Explained.value().Settings["priority"] == 7);
}

TEST_CASE("racing changes give one accepted and one conflict") {
  Publisher Ops;
  REQUIRE(Ops.publish(Standard).IsAccepted);
  CHECK(Ops.publish(R"({"team/parks": {"template": "field",
      "arguments": {"models": []}}})",
                    1)
            .IsAccepted);
  ConfigVerdict Late = Ops.publish(R"({"team/parks": null})", 1);
  CHECK(errorOf(Late) == ConfigError::Conflict);
  CHECK(Late.Problem->Object.Name == "parks");
  // Another object than those changed since is no conflict.
  CHECK(Ops.publish(R"({"team/new": {}})", 1).IsAccepted);
  CHECK(Ops.Fold.revision() == Revision{3});
}

TEST_CASE("a removal conflicts with a racing put of the same name") {
  Publisher Ops;
  REQUIRE(Ops.publish(R"({"team/a": {}})").IsAccepted);
  REQUIRE(Ops.publish(R"({"team/a": null})", 1).IsAccepted);
  CHECK(errorOf(Ops.publish(R"({"team/a": {}})", 1)) == ConfigError::Conflict);
  CHECK(Ops.publish(R"({"team/a": {}})", 2).IsAccepted);
}

TEST_CASE("a second copy has no effect, also of a refused change") {
  Publisher Ops;
  StreamRecord Early = Ops.make(R"({"team/a": {"template": "t"}})", 0);
  CHECK(errorOf(Ops.apply(Early)) == ConfigError::UnknownTemplate);
  StreamRecord Template = Ops.make(R"({"template/t": {}})", 0);
  CHECK(Ops.apply(Template).IsAccepted);
  CHECK(Ops.apply(Template).At == Revision{1});
  // The change was reported as refused, and stays refused.
  CHECK_FALSE(Ops.apply(Early).IsAccepted);
  CHECK(Ops.Fold.revision() == Revision{1});
}

TEST_CASE("no copy gets through after its identifier is forgotten") {
  Publisher Ops;
  StreamRecord Refused = Ops.make(R"({"team/a": {"template": "t"}})", 0);
  StreamRecord Accepted = Ops.make(R"({"team/b": {}})", 0);
  CHECK_FALSE(Ops.apply(Refused).IsAccepted);
  CHECK(Ops.apply(Accepted).IsAccepted);
  CHECK(Ops.publish(R"({"template/t": {}})").IsAccepted);
  for (std::uint64_t Count = 0; Count <= ConfigLookBackRevisions; ++Count)
    REQUIRE(Ops.publish(R"({"service/s": {}})").IsAccepted);
  CHECK_FALSE(Ops.Fold.verdictOf(Refused.Id));
  Revision Before = Ops.Fold.revision();
  CHECK(errorOf(Ops.apply(Refused)) == ConfigError::StaleBase);
  CHECK_FALSE(Ops.apply(Accepted).IsAccepted);
  CHECK(Ops.Fold.revision() == Before);
}

TEST_CASE("an invalid change of a foreign writer is refused with its place") {
  Publisher Ops;
  auto Refused = [&](const std::string &Edits) {
    ConfigVerdict Verdict = Ops.publish(Edits);
    CHECK_FALSE(Verdict.IsAccepted);
    return *Verdict.Problem;
  };
  ConfigProblem Range = Refused(R"({"team/a": {"settings": {"weight": 0}}})");
  CHECK(Range.Error == ConfigError::BadValue);
  CHECK(Range.Pointer == "/weight");
  CHECK(Range.Found == "0");
  CHECK(Range.Allowed == "an integer from 1 to 1000000");
  CHECK(Refused(R"({"team/a": {"settings": {"wieght": 1}}})").Error ==
        ConfigError::UnknownField);
  CHECK(Refused(R"({"team/a": {"tempalte": "x"}})").Pointer == "/tempalte");
  CHECK(Refused(R"({"template/a": {"extends": "b"},
                    "template/b": {"extends": "a"}})")
            .Error == ConfigError::TemplateTooDeep);
  CHECK(Refused(R"({"template/t": {"parameters": {"p": null},
                      "settings": {"priority": {"$param": "p"}}},
                    "team/a": {"template": "t"}})")
            .Error == ConfigError::MissingArgument);
  CHECK(Refused(R"({"team/a": {"settings": {"classes": {"order":
                    {"hedge": true}}}}})")
            .Pointer == "/classes/order/hedge");
  CHECK(Ops.Fold.revision() == Revision{0});
}

TEST_CASE("a change is all or nothing") {
  Publisher Ops;
  CHECK_FALSE(Ops.publish(R"({"team/a": {}, "team/b": {"template": "none"}})")
                  .IsAccepted);
  CHECK(Ops.Fold.snapshot().teamNamed("a") == nullptr);
}

TEST_CASE("a template in use can't go, and its edit reaches its teams") {
  Publisher Ops;
  REQUIRE(Ops.publish(Standard).IsAccepted);
  CHECK(errorOf(Ops.publish(R"({"template/field": null})")) ==
        ConfigError::UnknownTemplate);
  CHECK(Ops.publish(R"({"template/standard": {"parameters":
      {"rank": 1, "models": null}, "settings": {"weight": 3}}})")
            .IsAccepted);
  CHECK(Ops.Fold.snapshot().teamNamed("parks")->Weight == 3);
}

TEST_CASE("a request keeps its revision from start to end") {
  Publisher Ops;
  REQUIRE(Ops.publish(R"({"team/a": {"settings":
      {"maxTokensPerRequest": 100}}})")
              .IsAccepted);
  ConfigSnapshot AtStart = Ops.Fold.snapshot();
  const EffectiveTeam *Team = AtStart.teamNamed("a");
  REQUIRE(Ops.publish(R"({"team/a": {"settings":
      {"maxTokensPerRequest": 50}}})")
              .IsAccepted);
  REQUIRE(Ops.publish(R"({"team/a": null})").IsAccepted);
  CHECK(Team->MaxTokensPerRequest == 100);
  CHECK(AtStart.revision() == Revision{1});
  CHECK(Ops.Fold.snapshot().teamNamed("a") == nullptr);
}

TEST_CASE("a token belongs to one object and goes with it") {
  Publisher Ops;
  REQUIRE(Ops.publish(Standard).IsAccepted);
  std::string Thief = R"({"team/thief": {"keys": [")" + TokenHash + R"("]}})";
  CHECK(errorOf(Ops.publish(Thief)) == ConfigError::DuplicateToken);
  REQUIRE(Ops.publish(R"({"team/parks": null})").IsAccepted);
  CHECK(Ops.Fold.snapshot().teamOfToken("secret") == nullptr);
  CHECK(Ops.publish(Thief).IsAccepted);
  CHECK(Ops.Fold.snapshot().teamOfToken("secret")->Name == "thief");
}

TEST_CASE("a rollback is a new change back to the old objects") {
  Publisher Ops;
  REQUIRE(Ops.publish(R"({"team/a": {"settings": {"weight": 1}}})").IsAccepted);
  REQUIRE(Ops.publish(R"({"team/a": {"settings": {"weight": 2}},
                          "team/b": {}})")
              .IsAccepted);
  ConfigChange Back;
  Back.Id = {1, 1};
  Back.Base = Ops.Fold.revision();
  Back.Edits = Ops.Fold.editsBackTo(Revision{1}).value();
  CHECK(Ops.Fold.preview(Back).value().Objects.size() == 2);
  CHECK(Ops.apply(recordOfChange(Back, {})).At == Revision{3});
  CHECK(Ops.Fold.snapshot().teamNamed("a")->Weight == 1);
  CHECK(Ops.Fold.snapshot().teamNamed("b") == nullptr);
  CHECK_FALSE(Ops.Fold.editsBackTo(Revision{9}));
}

TEST_CASE("a state read back decides as the state written") {
  Publisher Ops;
  REQUIRE(Ops.publish(Standard).IsAccepted);
  StreamRecord Refused = Ops.make(R"({"team/x": {"template": "none"}})", 1);
  CHECK_FALSE(Ops.apply(Refused).IsAccepted);
  REQUIRE(Ops.publish(R"({"service/s": {"calls": [
      {"path": "/read", "repeatable": true}]}})")
              .IsAccepted);
  auto Copy = ConfigFold::decode(Ops.Fold.encode());
  REQUIRE(Copy);
  ConfigFold &Read = Copy.value();
  CHECK(Read.digest() == Ops.Fold.digest());
  CHECK(Read.revision() == Revision{2});
  CHECK(Read.snapshot().teamOfToken("secret")->Priority == 7);
  CHECK(Read.snapshot().service("s")->isRepeatable("GET", "/read/1"));
  CHECK_FALSE(Read.snapshot().service("s")->isRepeatable("GET", "/write"));
  CHECK_FALSE(Read.apply(Refused, {}).value().IsAccepted);
  CHECK(Read.history().size() == 2);
  CHECK_FALSE(ConfigFold::decode("garbage"));
}

TEST_CASE("operators need a token and the role, and strangers get nothing") {
  Publisher Ops;
  REQUIRE(Ops.publish(R"({"operator/ana": {"roles": ["read", "publish"],
      "keys": [")" + toHex(sha256("ana's")) +
                      R"("]}})")
              .IsAccepted);
  OperatorAuthority Authority(
      {{"first", {OperatorRole::Publish}, {sha256("first's")}}});
  ConfigSnapshot Config = Ops.Fold.snapshot();
  CHECK(Authority.authorize(Config, "ana's", OperatorRole::Publish).value() ==
        "ana");
  CHECK(Authority.authorize(Config, "first's", OperatorRole::Publish));
  CHECK(Authority.authorize(Config, "ana's", OperatorRole::Settle).error() ==
        ConfigError::NotPermitted);
  CHECK(Authority.authorize(Config, "guess", OperatorRole::Read).error() ==
        ConfigError::NotAuthenticated);
}
