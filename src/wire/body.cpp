// Decodes and encodes CBOR bodies. The structure of a body is checked before any value is built from it.
#include "wire/codec.hpp"

namespace reachhoist::wire {

namespace {

constexpr std::size_t kMaxNestingLevels = 16;  // The protocol's own messages use at most 5.

// What the lead byte of a UTF-8 sequence encodes.
struct Utf8Lead {
  std::size_t continuationBytes = 0;
  std::uint32_t codePointBits = 0;  // the code point's bits in the lead byte
};

// Returns nothing if no sequence can begin with the byte.
std::optional<Utf8Lead> decodeUtf8Lead(unsigned char byte) {
  if (byte < 0x80) return Utf8Lead{0, byte};
  if (byte >= 0xC2 && byte < 0xE0) return Utf8Lead{1, byte & 0x1FU};
  if (byte >= 0xE0 && byte < 0xF0) return Utf8Lead{2, byte & 0x0FU};
  if (byte >= 0xF0 && byte <= 0xF4) return Utf8Lead{3, byte & 0x07U};
  return std::nullopt;
}

// Returns whether the code point is valid and the sequence no longer than the code point needs. Overlong
// sequences of two bytes have a lead byte that decodeUtf8Lead() rejects.
bool isValidCodePoint(std::uint32_t codePoint, std::size_t continuationBytes) {
  const bool overlong =
      (continuationBytes == 2 && codePoint < 0x800) || (continuationBytes == 3 && codePoint < 0x10000);
  const bool surrogate = codePoint >= 0xD800 && codePoint < 0xE000;
  return !overlong && !surrogate && codePoint <= 0x10FFFF;
}

// Formatting a value throws later if its text is not UTF-8, so such text is rejected here.
bool isValidUtf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto lead = decodeUtf8Lead(static_cast<unsigned char>(text[i]));
    if (!lead || text.size() - i <= lead->continuationBytes) return false;
    std::uint32_t codePoint = lead->codePointBits;
    for (std::size_t k = 1; k <= lead->continuationBytes; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      if ((next & 0xC0U) != 0x80U) return false;
      codePoint = codePoint << 6U | (next & 0x3FU);
    }
    if (!isValidCodePoint(codePoint, lead->continuationBytes)) return false;
    i += lead->continuationBytes + 1;
  }
  return true;
}

// Major types of CBOR items (RFC 8949, section 3.1).
enum class MajorType : unsigned { unsignedInteger, negativeInteger, bytes, text, array, map, tag, simple };

// Checks the structure of a CBOR body without building any value. It protects the recursive decoder from
// nesting that would exhaust the stack and from declared lengths that exceed the body. Each check returns the
// reason for rejecting the body, or null if the checked part is valid.
class StructureChecker {
 public:
  explicit StructureChecker(std::string_view bytes) : bytes_(bytes) {}

  const char* check() {
    remainingItems_.push_back(1);
    while (!remainingItems_.empty()) {
      if (remainingItems_.back() == 0) {
        remainingItems_.pop_back();
        continue;
      }
      --remainingItems_.back();
      if (const char* error = checkItem()) return error;
      if (remainingItems_.size() > kMaxNestingLevels) return "nested too deeply";
    }
    return offset_ == bytes_.size() ? nullptr : "trailing bytes";
  }

 private:
  const char* checkItem() {
    if (offset_ >= bytes_.size()) return "body ends early";
    const auto head = static_cast<unsigned char>(bytes_[offset_++]);
    const unsigned minor = head & 31U;
    if (minor > 27) return "indefinite lengths are not taken";
    std::uint64_t argument = minor;
    if (minor >= 24) {
      const std::size_t width = std::size_t{1} << (minor - 24);
      if (bytes_.size() - offset_ < width) return "body ends early";
      argument = readBigEndian(width);
    }
    const auto type = static_cast<MajorType>(head >> 5U);
    if (type == MajorType::simple) return minor < 20 || minor == 24 ? "unknown simple value" : nullptr;
    return checkContent(type, argument);
  }

  std::uint64_t readBigEndian(std::size_t width) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < width; ++i)
      value = value << 8U | static_cast<unsigned char>(bytes_[offset_++]);
    return value;
  }

  const char* checkContent(MajorType type, std::uint64_t argument) {
    switch (type) {
      case MajorType::bytes:
        return "byte strings are not taken";
      case MajorType::text:
        return checkText(argument);
      case MajorType::array:
        return checkContainer(argument, 1);
      case MajorType::map:
        return checkContainer(argument, 2);
      case MajorType::tag:
        return "tags are not taken";
      default:
        return nullptr;
    }
  }

  const char* checkText(std::uint64_t size) {
    if (size > bytes_.size() - offset_) return "declared length beyond the body";
    if (!isValidUtf8(bytes_.substr(offset_, size))) return "text that is not UTF-8";
    offset_ += size;
    return nullptr;
  }

  // An array or map holds at most as many items as bytes follow, since an item takes at least one byte.
  const char* checkContainer(std::uint64_t entries, std::uint64_t itemsPerEntry) {
    if (entries > (bytes_.size() - offset_) / itemsPerEntry) return "declared length beyond the body";
    remainingItems_.push_back(entries * itemsPerEntry);
    return nullptr;
  }

  std::string_view bytes_;
  std::size_t offset_ = 0;
  // For each nesting level, the number of items that have not been checked yet.
  std::vector<std::uint64_t> remainingItems_;
};

}  // namespace

Result<Json> decodeBody(std::string_view bytes) {
  if (const char* error = StructureChecker(bytes).check()) return Result<Json>::failure(error);
  Json body = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (body.is_discarded()) return Result<Json>::failure("not CBOR");
  return body;
}

std::string encodeBody(const Json& body) {
  std::string bytes;
  Json::to_cbor(body, bytes);
  return bytes;
}

}  // namespace reachhoist::wire
