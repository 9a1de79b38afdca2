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
  std::deque<Idle> &IdleConnections = Found->second;
  while (!IdleConnections.empty()) {
    const Idle &Newest = IdleConnections.back();
    if (Now - Newest.IdleSince > MaxIdle)
      return nullptr;
    TcpConnection::Handle Connection = Newest.Connection;
    bool IsUsable = Now < Newest.ExpiresAt && Connection->isQuiet();
    IdleConnections.pop_back();
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
  Duration IdleLimit = this->Limits.IdleTime;
  if (ServerIdleTime)
    IdleLimit = *ServerIdleTime - this->Limits.IdleMargin;
  std::deque<Idle> &IdleConnections = this->ByAddress[Address];
  if (IdleLimit <= Duration::zero()) {
    Connection->close();
    return;
  }
  IdleConnections.push_back({std::move(Connection), Now, Now + IdleLimit});
  if (IdleConnections.size() > this->Limits.MaxIdlePerAddress) {
    IdleConnections.front().Connection->close();
    IdleConnections.pop_front();
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
      bool IsExpired = Now >= Each.ExpiresAt || Each.Connection->hasEnded();
      if (IsExpired)
        Each.Connection->close();
      return IsExpired;
    });
    Entry =
        Entry->second.empty() ? this->ByAddress.erase(Entry) : std::next(Entry);
  }
}

std::size_t HttpConnectionPool::size() const {
  std::size_t Sum = 0;
  for (const auto &[Address, IdleConnections] : this->ByAddress)
    Sum += IdleConnections.size();
  return Sum;
}

} // namespace bergamothook
