#include "LibObserve/Metrics.h"

#include <cstdio>
#include <set>

namespace bergamothook {

namespace {

constexpr int BucketCount = 28;
constexpr double MinSeconds = 1e-5;
constexpr double MaxSeconds = 1e3;
const std::string Prefix = "bergamothook_";

std::string toText(double Value) {
  char Buffer[32];
  std::snprintf(Buffer, sizeof(Buffer), "%.10g", Value);
  return Buffer;
}

std::string familyOf(const std::string &Name) {
  return Name.substr(0, Name.find('{'));
}

void writeScalars(std::string &Out, const std::map<std::string, double> &Values,
                  const char *Type) {
  std::set<std::string> Written;
  for (const auto &[Name, Value] : Values) {
    std::string Family = familyOf(Name);
    if (Written.insert(Family).second)
      Out += "# TYPE " + Prefix + Family + " " + Type + "\n";
    Out += Prefix + Name + " " + toText(Value) + "\n";
  }
}

} // namespace

void Metrics::count(const std::string &Name, double Amount) {
  std::lock_guard Guard(this->Lock);
  this->Counters[Name] += Amount;
}

void Metrics::set(const std::string &Name, double Value) {
  std::lock_guard Guard(this->Lock);
  this->Gauges[Name] = Value;
}

void Metrics::observe(const std::string &Name, Duration Value) {
  double Seconds = std::chrono::duration<double>(Value).count();
  std::lock_guard Guard(this->Lock);
  auto [Found, IsNew] =
      this->Distributions.try_emplace(Name, makeDistribution());
  Found->second.Buckets(Seconds);
  Found->second.SumSeconds += Seconds;
  ++Found->second.Count;
}

double Metrics::value(const std::string &Name) const {
  std::lock_guard Guard(this->Lock);
  if (auto Found = this->Counters.find(Name); Found != this->Counters.end())
    return Found->second;
  if (auto Found = this->Gauges.find(Name); Found != this->Gauges.end())
    return Found->second;
  return 0;
}

Metrics::Distribution Metrics::makeDistribution() {
  return {Histogram(std::make_tuple(Axis(BucketCount, MinSeconds, MaxSeconds))),
          0, 0};
}

void Metrics::writeDistribution(std::string &Out, const std::string &Name,
                                const Distribution &Values) {
  std::string Family = Prefix + familyOf(Name);
  std::size_t Brace = Name.find('{');
  std::string Labels;
  if (Brace != std::string::npos)
    Labels = Name.substr(Brace + 1, Name.size() - Brace - 2) + ",";
  double CumulativeCount = Values.Buckets.at(-1);
  for (int Bucket = 0; Bucket < BucketCount; ++Bucket) {
    CumulativeCount += Values.Buckets.at(Bucket);
    double UpperBound = Values.Buckets.axis(0).value(Bucket + 1);
    Out += Family + "_bucket{" + Labels + "le=\"" + toText(UpperBound) +
           "\"} " + toText(CumulativeCount) + "\n";
  }
  std::string Count = toText(static_cast<double>(Values.Count));
  Out += Family + "_bucket{" + Labels + "le=\"+Inf\"} " + Count + "\n";
  std::string LabelSuffix =
      Brace == std::string::npos ? "" : Name.substr(Brace);
  Out += Family + "_sum" + LabelSuffix + " " + toText(Values.SumSeconds) + "\n";
  Out += Family + "_count" + LabelSuffix + " " + Count + "\n";
}

std::string Metrics::toPrometheusText() const {
  std::lock_guard Guard(this->Lock);
  std::string Out;
  writeScalars(Out, this->Counters, "counter");
  writeScalars(Out, this->Gauges, "gauge");
  std::set<std::string> Written;
  for (const auto &[Name, Values] : this->Distributions) {
    if (Written.insert(familyOf(Name)).second)
      Out += "# TYPE " + Prefix + familyOf(Name) + " histogram\n";
    writeDistribution(Out, Name, Values);
  }
  return Out;
}

} // namespace bergamothook
