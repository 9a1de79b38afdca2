/// \file
/// A cereal archive for bytes that can't be trusted.

#ifndef BERGAMOTHOOK_LIBPEER_BOUNDEDINPUTARCHIVE_H
#define BERGAMOTHOOK_LIBPEER_BOUNDEDINPUTARCHIVE_H

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <string_view>

namespace bergamothook::detail {

/// Reads what cereal::PortableBinaryOutputArchive writes in little-endian
/// order. A length is checked against the bytes that are left before anything
/// is allocated by it. Throws cereal::Exception on any other input.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  explicit BoundedInputArchive(std::string_view Bytes)
      : cereal::InputArchive<BoundedInputArchive,
                             cereal::AllowEmptyClassElision>(this),
        Rest(Bytes) {
    std::uint8_t IsLittleEndian = 0;
    this->readBytes(&IsLittleEndian, 1);
    if (IsLittleEndian != 1)
      throw cereal::Exception("not in little-endian order");
  }

  /// Copies \p Count bytes.
  void readBytes(void *Into, std::size_t Count) {
    if (Count > this->Rest.size())
      throw cereal::Exception("too short");
    std::memcpy(Into, this->Rest.data(), Count);
    this->Rest.remove_prefix(Count);
  }

  /// The bytes that were not read yet.
  std::string_view rest() const { return this->Rest; }

private:
  std::string_view Rest;
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
    throw cereal::Exception("not a boolean");
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
  if (Length.size > Archive.rest().size())
    throw cereal::Exception("too long");
}

template <typename T>
inline void CEREAL_LOAD_FUNCTION_NAME( // NOLINT
    BoundedInputArchive &Archive, cereal::BinaryData<T> &Data) {
  Archive.readBytes(Data.data, Data.size);
}

} // namespace bergamothook::detail

namespace cereal::traits::detail {

/// Tells cereal which archive writes what this one reads.
template <>
struct get_output_from_input<bergamothook::detail::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};

} // namespace cereal::traits::detail

#endif
