/// \file
/// Counters, gauges and distributions, written as Prometheus text.

#ifndef BERGAMOTHOOK_LIBOBSERVE_METRICS_H
#define BERGAMOTHOOK_LIBOBSERVE_METRICS_H

#include "LibBase/Time.h"

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <string>

namespace bergamothook {

/// All metrics of one process. Any thread may call it. A metric is named in
/// full, with its labels, for example requests_total{outcome="done"}.
class Metrics {
public:
  /// Adds \p Amount to a counter.
  void count(const std::string &Name, double Amount = 1);

  /// Sets a gauge.
  void set(const std::string &Name, double Value);

  /// Adds one time to a distribution, which is written in seconds.
  void observe(const std::string &Name, Duration Value);

  /// Gives a counter's or gauge's value; 0 when it was never touched.
  double value(const std::string &Name) const;

  /// Writes everything as Prometheus text. Each name gets the prefix
  /// "bergamothook_".
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
                                const Distribution &Times);

  mutable std::mutex Lock;
  std::map<std::string, double> Counters;
  std::map<std::string, double> Gauges;
  std::map<std::string, Distribution> Distributions;
};

} // namespace bergamothook

#endif
