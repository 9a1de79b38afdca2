#include "LibOutcome/OrderKey.h"

#include <charconv>

namespace bergamothook {

namespace {

constexpr std::string_view TicketPrefix = "ticket-";
constexpr std::size_t HexDigits = 16;
constexpr std::size_t TicketLength = TicketPrefix.size() + 3 * HexDigits + 2;
constexpr std::size_t UuidLength = 36;
constexpr std::size_t UuidVersionIndex = 14;
constexpr std::size_t DateLength = 14;

template <typename Number>
std::optional<Number> readNumber(std::string_view Text, int Base) {
  Number Value = 0;
  const char *End = Text.data() + Text.size();
  auto Read = std::from_chars(Text.data(), End, Value, Base);
  if (Read.ec != std::errc{} || Read.ptr != End)
    return std::nullopt;
  return Value;
}

bool isUuid(std::string_view Key) {
  if (Key.size() != UuidLength)
    return false;
  for (std::size_t Index = 0; Index < Key.size(); ++Index) {
    bool IsDash = Index == 8 || Index == 13 || Index == 18 || Index == 23;
    bool IsHex = std::isxdigit(static_cast<unsigned char>(Key[Index])) != 0;
    if (IsDash ? Key[Index] != '-' : !IsHex)
      return false;
  }
  return true;
}

std::optional<WallTime> dateOfUuid(std::string_view Key) {
  if (!isUuid(Key) || Key[UuidVersionIndex] != '7')
    return std::nullopt;
  std::string Digits(Key.substr(0, 8));
  Digits += Key.substr(9, 4);
  auto Milliseconds = readNumber<std::int64_t>(Digits, 16);
  return WallTime(std::chrono::milliseconds(*Milliseconds));
}

std::optional<int> readDigits(std::string_view Key, std::size_t Index,
                              std::size_t Count) {
  std::string_view Digits = Key.substr(Index, Count);
  if (Digits.front() < '0' || Digits.front() > '9')
    return std::nullopt;
  return readNumber<int>(Digits, 10);
}

std::optional<WallTime> dateOfPrefix(std::string_view Key) {
  if (Key.size() < DateLength || Key[8] != 'T' || Key[13] != 'Z')
    return std::nullopt;
  auto Year = readDigits(Key, 0, 4);
  auto Month = readDigits(Key, 4, 2);
  auto Day = readDigits(Key, 6, 2);
  auto Hour = readDigits(Key, 9, 2);
  auto Minute = readDigits(Key, 11, 2);
  if (!Year || !Month || !Day || !Hour || !Minute || *Hour > 23 || *Minute > 59)
    return std::nullopt;
  std::chrono::year_month_day Date{std::chrono::year(*Year),
                                   std::chrono::month(*Month),
                                   std::chrono::day(*Day)};
  if (!Date.ok())
    return std::nullopt;
  return WallTime(std::chrono::sys_days(Date)) + std::chrono::hours(*Hour) +
         std::chrono::minutes(*Minute);
}

} // namespace

std::optional<WallTime> dateOfKey(std::string_view Key) {
  if (auto Date = dateOfUuid(Key))
    return Date;
  return dateOfPrefix(Key);
}

std::string toKey(const OrderTicket &Ticket) {
  return std::string(TicketPrefix) + toHex(Ticket.Issuer.Host.Value) + "-" +
         toHex(Ticket.Issuer.Run) + "-" + toHex(Ticket.Number);
}

std::optional<OrderTicket> ticketOfKey(std::string_view Key) {
  if (Key.size() != TicketLength || !Key.starts_with(TicketPrefix))
    return std::nullopt;
  std::string_view Rest = Key.substr(TicketPrefix.size());
  auto Host = readNumber<std::uint64_t>(Rest.substr(0, HexDigits), 16);
  auto Run =
      readNumber<std::uint64_t>(Rest.substr(HexDigits + 1, HexDigits), 16);
  auto Number = readNumber<std::uint64_t>(Rest.substr(2 * HexDigits + 2), 16);
  if (!Host || !Run || !Number)
    return std::nullopt;
  return OrderTicket{Incarnation{HostId{*Host}, *Run}, *Number};
}

} // namespace bergamothook
