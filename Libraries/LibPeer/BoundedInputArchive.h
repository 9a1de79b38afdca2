/// \file
/// A cereal input archive for untrusted bytes.

#ifndef BERGAMOTHOOK_LIBPEER_BOUNDEDINPUTARCHIVE_H
#define BERGAMOTHOOK_LIBPEER_BOUNDEDINPUTARCHIVE_H

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <string_view>

namespace bergamothook::detail {

/// Reads the little-endian output of cereal::PortableBinaryOutputArchive.
/// Checks each length field against the number of remaining bytes before
/// allocating memory for it. Throws cereal::Exception on malformed input.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  explicit BoundedInputArchive(std::string_view Bytes)
      : cereal::InputArchive<BoundedInputArchive,
                             cereal::AllowEmptyClassElision>(this),
        Remaining(Bytes) {
    std::uint8_t IsLittleEndian = 0;
    this->readBytes(&IsLittleEndian, 1);
    if (IsLittleEndian != 1)
      throw cereal::Exception("the archive is not little-endian");
  }

  /// Copies \p Count bytes.
  void readBytes(void *Destination, std::size_t Count) {
    if (Count > this->Remaining.size())
      throw cereal::Exception("the archive is truncated");
    std::memcpy(Destination, this->Remaining.data(), Count);
    this->Remaining.remove_prefix(Count);
  }

  /// The bytes that have not been read yet.
  std::string_view remaining() const { return this->Remaining; }

private:
  std::string_view Remaining;
};

template <typename T>
  requires std::is_arithmetic_v<T>
inline void CEREAL_LOAD_FUNCTION_NAME( // NOLINT
    BoundedInputArchive &Archive, T &Value) {
  static_assert(std::endian::native == std::endian::little);
  Archive.readBytes(&Value, sizeof(Value));
}

template <>
inline void CEREAL_LOAD_FUNCTION_NAME<bool>( // NOLINT
    BoundedInputArchive &Archive, bool &Value) {
  std::uint8_t Byte = 0;
  Archive.readBytes(&Byte, sizeof(Byte));
  if (Byte > 1)
    throw cereal::Exception("invalid boolean value");
  Value = Byte == 1;
}

template <typename T>
inline void CEREAL_SERIALIZE_FUNCTION_NAME( // NOLINT
    BoundedInputArchive &Archive, cereal::NameValuePair<T> &Pair) {
  Archive(Pair.value);
}

template <typename T>
inline void CEREAL_SERIALIZE_FUNCTION_NAME( // NOLINT
    BoundedInputArchive &Archive, cereal::SizeTag<T> &Length) {
  Archive(Length.size);
  // Every element takes at least one byte.
  if (Length.size > Archive.remaining().size())
    throw cereal::Exception("the length exceeds the remaining bytes");
}

template <typename T>
inline void CEREAL_LOAD_FUNCTION_NAME( // NOLINT
    BoundedInputArchive &Archive, cereal::BinaryData<T> &Data) {
  Archive.readBytes(Data.data, Data.size);
}

} // namespace bergamothook::detail

namespace cereal::traits::detail {

/// Names the output archive whose format BoundedInputArchive reads.
template <>
struct get_output_from_input<bergamothook::detail::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};

} // namespace cereal::traits::detail

#endif
