#include "LibNet/HttpConnectionPool.h"

namespace bergamothook {

HttpConnectionPool::~HttpConnectionPool() {
  while (!this->ByAddress.empty())
    this->closeAll(std::string(this->ByAddress.begin()->first));
}

TcpConnection::Handle HttpConnectionPool::acquire(const std::string &Address,
                                                  Duration MaxIdle,
                                                  TimePoint Now) {
  auto Found = this->ByAddress.find(Address);
  if (Found == this->ByAddress.end())
    return nullptr;
  std::deque<Idle> &Waiting = Found->second;
  while (!Waiting.empty()) {
    const Idle &Newest = Waiting.back();
    if (Now - Newest.Since > MaxIdle)
      return nullptr;
    TcpConnection::Handle Connection = Newest.Connection;
    bool IsUsable = Now < Newest.Until && !Connection->hasEnded() &&
                    Connection->unread().empty();
    Waiting.pop_back();
    if (IsUsable)
      return Connection;
    Connection->close();
  }
  return nullptr;
}

void HttpConnectionPool::release(const std::string &Address,
                                 TcpConnection::Handle Connection,
                                 std::optional<Duration> ServerIdleTime,
                                 TimePoint Now) {
  Duration Keep = this->Limits.IdleTime;
  if (ServerIdleTime)
    Keep = *ServerIdleTime - this->Limits.IdleMargin;
  std::deque<Idle> &Waiting = this->ByAddress[Address];
  if (Keep <= Duration::zero()) {
    Connection->close();
    return;
  }
  Waiting.push_back({std::move(Connection), Now, Now + Keep});
  if (Waiting.size() > this->Limits.MaxIdlePerAddress) {
    Waiting.front().Connection->close();
    Waiting.pop_front();
  }
}

void HttpConnectionPool::closeAll(const std::string &Address) {
  auto Found = this->ByAddress.find(Address);
  if (Found == this->ByAddress.end())
    return;
  for (const Idle &Each : Found->second)
    Each.Connection->close();
  this->ByAddress.erase(Found);
}

void HttpConnectionPool::closeExpired(TimePoint Now) {
  for (auto Entry = this->ByAddress.begin(); Entry != this->ByAddress.end();) {
    std::erase_if(Entry->second, [Now](const Idle &Each) {
      bool IsOver = Now >= Each.Until || Each.Connection->hasEnded();
      if (IsOver)
        Each.Connection->close();
      return IsOver;
    });
    Entry =
        Entry->second.empty() ? this->ByAddress.erase(Entry) : std::next(Entry);
  }
}

std::size_t HttpConnectionPool::size() const {
  std::size_t Sum = 0;
  for (const auto &[Address, Waiting] : this->ByAddress)
    Sum += Waiting.size();
  return Sum;
}

} // namespace bergamothook
