/// \file
/// Counters, gauges and histograms, exported in the Prometheus text format.

#ifndef BERGAMOTHOOK_LIBOBSERVE_METRICS_H
#define BERGAMOTHOOK_LIBOBSERVE_METRICS_H

#include "LibBase/Time.h"

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <string>

namespace bergamothook {

/// The metrics of one process. Thread-safe. A metric's name includes its
/// labels, for example requests_total{outcome="done"}.
class Metrics {
public:
  /// Increments a counter by \p Amount.
  void count(const std::string &Name, double Amount = 1);

  void set(const std::string &Name, double Value);

  /// Records a duration in a histogram, which is exported in seconds.
  void observe(const std::string &Name, Duration Value);

  /// Returns the value of a counter or gauge; 0 if it was never updated.
  double value(const std::string &Name) const;

  /// Exports all metrics in the Prometheus text format, with the prefix
  /// "bergamothook_" before each name.
  std::string toPrometheusText() const;

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>>;

  struct Distribution {
    Histogram Buckets;
    double SumSeconds = 0;
    std::uint64_t Count = 0;
  };

  static Distribution makeDistribution();
  static void writeDistribution(std::string &Out, const std::string &Name,
                                const Distribution &Values);

  mutable std::mutex Lock;
  std::map<std::string, double> Counters;
  std::map<std::string, double> Gauges;
  std::map<std::string, Distribution> Distributions;
};

} // namespace bergamothook

#endif
