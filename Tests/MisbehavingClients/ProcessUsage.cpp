#include "ProcessUsage.h"

#include <arpa/inet.h>
#include <array>
#include <filesystem>
#include <fstream>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/rtnetlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bergamothook {

namespace {

struct SocketFilter {
  in_addr_t Ip;
  const std::set<std::uint16_t> &PeerPorts;
};

std::size_t bytesOf(const nlmsghdr *Message, const SocketFilter &Filter) {
  const auto *Socket = static_cast<const inet_diag_msg *>(NLMSG_DATA(Message));
  if (Socket->id.idiag_src[0] != Filter.Ip &&
      !Filter.PeerPorts.contains(ntohs(Socket->id.idiag_dport)))
    return 0;
  auto Length = static_cast<int>(NLMSG_PAYLOAD(Message, sizeof(*Socket)));
  for (const auto *Attribute = reinterpret_cast<const rtattr *>(Socket + 1);
       RTA_OK(Attribute, Length); Attribute = RTA_NEXT(Attribute, Length)) {
    if (Attribute->rta_type != INET_DIAG_SKMEMINFO)
      continue;
    const auto *Sizes = static_cast<const std::uint32_t *>(RTA_DATA(Attribute));
    return std::size_t{Sizes[SK_MEMINFO_RMEM_ALLOC]} +
           Sizes[SK_MEMINFO_WMEM_QUEUED] + Sizes[SK_MEMINFO_OPTMEM] +
           Sizes[SK_MEMINFO_BACKLOG];
  }
  return 0;
}

std::size_t socketMemory(std::uint8_t Protocol, const SocketFilter &Filter) {
  int Query = socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  if (Query < 0)
    return 0;
  struct {
    nlmsghdr Header;
    inet_diag_req_v2 Request;
  } Dump{};
  Dump.Header.nlmsg_len = sizeof(Dump);
  Dump.Header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  Dump.Header.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
  Dump.Request.sdiag_family = AF_INET;
  Dump.Request.sdiag_protocol = Protocol;
  Dump.Request.idiag_ext = 1 << (INET_DIAG_SKMEMINFO - 1);
  Dump.Request.idiag_states = ~0U;
  std::size_t Sum = 0;
  bool IsDone = send(Query, &Dump, sizeof(Dump), 0) < 0;
  alignas(nlmsghdr) std::array<char, 32 * 1024> Buffer;
  while (!IsDone) {
    ssize_t Bytes = recv(Query, Buffer.data(), Buffer.size(), 0);
    if (Bytes <= 0)
      break;
    auto Left = static_cast<unsigned>(Bytes);
    for (auto *Message = reinterpret_cast<nlmsghdr *>(Buffer.data());
         NLMSG_OK(Message, Left); Message = NLMSG_NEXT(Message, Left)) {
      IsDone = Message->nlmsg_type == NLMSG_DONE ||
               Message->nlmsg_type == NLMSG_ERROR;
      if (IsDone)
        break;
      Sum += bytesOf(Message, Filter);
    }
  }
  close(Query);
  return Sum;
}

} // namespace

std::size_t peakMemoryOf(pid_t Process) {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmHWM:"))
      return std::stoull(Line.substr(6)) * 1024;
  return 0;
}

std::size_t openDescriptorsOf(pid_t Process) {
  std::error_code Failure; // The process may have ended.
  std::size_t Count = 0;
  for (std::filesystem::directory_iterator
           At("/proc/" + std::to_string(Process) + "/fd", Failure),
       End;
       !Failure && At != End; At.increment(Failure))
    ++Count;
  return Count;
}

std::size_t socketMemory(const std::string &Ip,
                         const std::set<std::uint16_t> &PeerPorts) {
  SocketFilter Filter{inet_addr(Ip.c_str()), PeerPorts};
  return socketMemory(IPPROTO_TCP, Filter) + socketMemory(IPPROTO_UDP, Filter);
}

} // namespace bergamothook
