#include "LibConfig/ConfigFold.h"
#include "LibConfig/OperatorAuthorizer.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Applies changes as consecutive records of the stream.
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
    RecordPosition Position{Offset{this->NextOffset++}, 0};
    return this->Fold.apply(Record, Position).value();
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

TEST_CASE(
    "an effective team combines templates, parameters and its own settings") {
  Publisher Operators;
  REQUIRE(Operators.publish(Standard).IsAccepted);
  ConfigSnapshot Config = Operators.Fold.snapshot();
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

TEST_CASE("explain() returns the source of every value") {
  Publisher Operators;
  REQUIRE(Operators.publish(Standard).IsAccepted);
  auto Explained = Operators.Fold.explain("parks");
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

TEST_CASE("of two concurrent changes one is accepted and one conflicts") {
  Publisher Operators;
  REQUIRE(Operators.publish(Standard).IsAccepted);
  CHECK(Operators
            .publish(R"({"team/parks": {"template": "field",
      "arguments": {"models": []}}})",
                     1)
            .IsAccepted);
  ConfigVerdict LateRemoval = Operators.publish(R"({"team/parks": null})", 1);
  CHECK(errorOf(LateRemoval) == ConfigError::Conflict);
  CHECK(LateRemoval.Problem->Object.Name == "parks");
  // A change of an object that was not changed since the base does not
  // conflict.
  CHECK(Operators.publish(R"({"team/new": {}})", 1).IsAccepted);
  CHECK(Operators.Fold.revision() == Revision{3});
}

TEST_CASE("a removal conflicts with a concurrent put of the same name") {
  Publisher Operators;
  REQUIRE(Operators.publish(R"({"team/a": {}})").IsAccepted);
  REQUIRE(Operators.publish(R"({"team/a": null})", 1).IsAccepted);
  CHECK(errorOf(Operators.publish(R"({"team/a": {}})", 1)) ==
        ConfigError::Conflict);
  CHECK(Operators.publish(R"({"team/a": {}})", 2).IsAccepted);
}

TEST_CASE("duplicates of accepted and rejected changes have no effect") {
  Publisher Operators;
  StreamRecord RejectedChange =
      Operators.make(R"({"team/a": {"template": "t"}})", 0);
  CHECK(errorOf(Operators.apply(RejectedChange)) ==
        ConfigError::UnknownTemplate);
  StreamRecord Template = Operators.make(R"({"template/t": {}})", 0);
  CHECK(Operators.apply(Template).IsAccepted);
  CHECK(Operators.apply(Template).At == Revision{1});
  // The rejection was reported, so the change must stay rejected although its
  // template exists now.
  CHECK_FALSE(Operators.apply(RejectedChange).IsAccepted);
  CHECK(Operators.Fold.revision() == Revision{1});
}

TEST_CASE("a duplicate is rejected after its identifier has expired") {
  Publisher Operators;
  StreamRecord Rejected = Operators.make(R"({"team/a": {"template": "t"}})", 0);
  StreamRecord Accepted = Operators.make(R"({"team/b": {}})", 0);
  CHECK_FALSE(Operators.apply(Rejected).IsAccepted);
  CHECK(Operators.apply(Accepted).IsAccepted);
  CHECK(Operators.publish(R"({"template/t": {}})").IsAccepted);
  for (std::uint64_t Count = 0; Count <= ConfigLookBackRevisions; ++Count)
    REQUIRE(Operators.publish(R"({"service/s": {}})").IsAccepted);
  CHECK_FALSE(Operators.Fold.verdictOf(Rejected.Id));
  Revision RevisionBefore = Operators.Fold.revision();
  CHECK(errorOf(Operators.apply(Rejected)) == ConfigError::StaleBase);
  CHECK_FALSE(Operators.apply(Accepted).IsAccepted);
  CHECK(Operators.Fold.revision() == RevisionBefore);
}

TEST_CASE(
    "an invalid change is rejected with the location of the invalid value") {
  Publisher Operators;
  auto Rejected = [&](const std::string &Edits) {
    ConfigVerdict Verdict = Operators.publish(Edits);
    CHECK_FALSE(Verdict.IsAccepted);
    return *Verdict.Problem;
  };
  ConfigProblem Range = Rejected(R"({"team/a": {"settings": {"weight": 0}}})");
  CHECK(Range.Error == ConfigError::BadValue);
  CHECK(Range.Pointer == "/weight");
  CHECK(Range.Found == "0");
  CHECK(Range.Allowed == "an integer from 1 to 1000000");
  CHECK(Rejected(R"({"team/a": {"settings": {"wieght": 1}}})").Error ==
        ConfigError::UnknownField);
  CHECK(Rejected(R"({"team/a": {"tempalte": "x"}})").Pointer == "/tempalte");
  CHECK(Rejected(R"({"template/a": {"extends": "b"},
                    "template/b": {"extends": "a"}})")
            .Error == ConfigError::TemplateTooDeep);
  CHECK(Rejected(R"({"template/t": {"parameters": {"p": null},
                      "settings": {"priority": {"$param": "p"}}},
                    "team/a": {"template": "t"}})")
            .Error == ConfigError::MissingArgument);
  CHECK(Rejected(R"({"team/a": {"settings": {"classes": {"order":
                    {"hedge": true}}}}})")
            .Pointer == "/classes/order/hedge");
  CHECK(Operators.Fold.revision() == Revision{0});
}

TEST_CASE("a change is applied atomically") {
  Publisher Operators;
  CHECK_FALSE(
      Operators.publish(R"({"team/a": {}, "team/b": {"template": "none"}})")
          .IsAccepted);
  CHECK(Operators.Fold.snapshot().teamNamed("a") == nullptr);
}

TEST_CASE(
    "a template in use cannot be removed, and its edits apply to its teams") {
  Publisher Operators;
  REQUIRE(Operators.publish(Standard).IsAccepted);
  CHECK(errorOf(Operators.publish(R"({"template/field": null})")) ==
        ConfigError::UnknownTemplate);
  CHECK(Operators
            .publish(R"({"template/standard": {"parameters":
      {"rank": 1, "models": null}, "settings": {"weight": 3}}})")
            .IsAccepted);
  CHECK(Operators.Fold.snapshot().teamNamed("parks")->Weight == 3);
}

TEST_CASE("a snapshot keeps its revision while newer changes are published") {
  Publisher Operators;
  REQUIRE(Operators
              .publish(R"({"team/a": {"settings":
      {"maxTokensPerRequest": 100}}})")
              .IsAccepted);
  ConfigSnapshot AtStart = Operators.Fold.snapshot();
  const EffectiveTeam *Team = AtStart.teamNamed("a");
  REQUIRE(Operators
              .publish(R"({"team/a": {"settings":
      {"maxTokensPerRequest": 50}}})")
              .IsAccepted);
  REQUIRE(Operators.publish(R"({"team/a": null})").IsAccepted);
  CHECK(Team->MaxTokensPerRequest == 100);
  CHECK(AtStart.revision() == Revision{1});
  CHECK(Operators.Fold.snapshot().teamNamed("a") == nullptr);
}

TEST_CASE("a token belongs to one object and is removed with it") {
  Publisher Operators;
  REQUIRE(Operators.publish(Standard).IsAccepted);
  std::string Duplicate =
      R"({"team/thief": {"keys": [")" + TokenHash + R"("]}})";
  CHECK(errorOf(Operators.publish(Duplicate)) == ConfigError::DuplicateToken);
  REQUIRE(Operators.publish(R"({"team/parks": null})").IsAccepted);
  CHECK(Operators.Fold.snapshot().teamOfToken("secret") == nullptr);
  CHECK(Operators.publish(Duplicate).IsAccepted);
  CHECK(Operators.Fold.snapshot().teamOfToken("secret")->Name == "thief");
}

TEST_CASE("a rollback is a new change that restores the old objects") {
  Publisher Operators;
  REQUIRE(Operators.publish(R"({"team/a": {"settings": {"weight": 1}}})")
              .IsAccepted);
  REQUIRE(Operators
              .publish(R"({"team/a": {"settings": {"weight": 2}},
                          "team/b": {}})")
              .IsAccepted);
  ConfigChange Rollback;
  Rollback.Id = {1, 1};
  Rollback.Base = Operators.Fold.revision();
  Rollback.Edits = Operators.Fold.editsBackTo(Revision{1}).value();
  CHECK(Operators.Fold.preview(Rollback).value().Objects.size() == 2);
  CHECK(Operators.apply(recordOfChange(Rollback, {})).At == Revision{3});
  CHECK(Operators.Fold.snapshot().teamNamed("a")->Weight == 1);
  CHECK(Operators.Fold.snapshot().teamNamed("b") == nullptr);
  CHECK_FALSE(Operators.Fold.editsBackTo(Revision{9}));
}

TEST_CASE("a decoded state makes the same decisions as the encoded one") {
  Publisher Operators;
  REQUIRE(Operators.publish(Standard).IsAccepted);
  StreamRecord Rejected =
      Operators.make(R"({"team/x": {"template": "none"}})", 1);
  CHECK_FALSE(Operators.apply(Rejected).IsAccepted);
  REQUIRE(Operators
              .publish(R"({"service/s": {"calls": [
      {"path": "/read", "repeatable": true}]}})")
              .IsAccepted);
  auto Copy = ConfigFold::decode(Operators.Fold.encode());
  REQUIRE(Copy);
  ConfigFold &Read = Copy.value();
  CHECK(Read.digest() == Operators.Fold.digest());
  CHECK(Read.revision() == Revision{2});
  CHECK(Read.snapshot().teamOfToken("secret")->Priority == 7);
  CHECK(Read.snapshot().service("s")->isRepeatable("GET", "/read/1"));
  CHECK_FALSE(Read.snapshot().service("s")->isRepeatable("GET", "/write"));
  CHECK_FALSE(Read.apply(Rejected, {}).value().IsAccepted);
  CHECK(Read.history().size() == 2);
  CHECK_FALSE(ConfigFold::decode("garbage"));
}

TEST_CASE("operators need a valid token and the required role") {
  Publisher Operators;
  REQUIRE(Operators
              .publish(R"({"operator/ana": {"roles": ["read", "publish"],
      "keys": [")" + toHex(sha256("ana's")) +
                       R"("]}})")
              .IsAccepted);
  OperatorAuthorizer Authorizer(
      {{"first", {OperatorRole::Publish}, {sha256("first's")}}});
  ConfigSnapshot Config = Operators.Fold.snapshot();
  CHECK(Authorizer.authorize(Config, "ana's", OperatorRole::Publish).value() ==
        "ana");
  CHECK(Authorizer.authorize(Config, "first's", OperatorRole::Publish));
  CHECK(Authorizer.authorize(Config, "ana's", OperatorRole::Settle).error() ==
        ConfigError::NotPermitted);
  CHECK(Authorizer.authorize(Config, "guess", OperatorRole::Read).error() ==
        ConfigError::NotAuthenticated);
}

// Guards against the hash of nothing, which an unset variable yields, letting
// requests without a token in.
TEST_CASE("a request without a token does not match the hash of an empty one") {
  Publisher Operators;
  const std::string Empty = toHex(sha256(""));
  REQUIRE(Operators.publish(R"({"team/open": {"keys": [")" + Empty + R"("]}})")
              .IsAccepted);
  CHECK_FALSE(Operators.Fold.snapshot().teamOfToken(""));
  REQUIRE(Operators
              .publish(R"({"team/open": null, "operator/ana":
      {"roles": ["read"], "keys": [")" +
                       Empty + R"("]}})")
              .IsAccepted);
  ConfigSnapshot Config = Operators.Fold.snapshot();
  CHECK_FALSE(Config.operatorOfToken(""));
  OperatorAuthorizer Authorizer(
      {{"first", {OperatorRole::Read}, {sha256("")}}});
  CHECK(Authorizer.authorize(Config, "", OperatorRole::Read).error() ==
        ConfigError::NotAuthenticated);
}
