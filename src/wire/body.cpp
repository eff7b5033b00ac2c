// CBOR bodies: their structure is checked before anything is built.
#include "wire/codec.hpp"

namespace reachhoist::wire {

namespace {

constexpr std::size_t kMaxDepth = 16;  // levels; the protocol's own messages use at most 5

// How a UTF-8 sequence begins.
struct Utf8Lead {
  std::size_t continuationBytes = 0;
  std::uint32_t bits = 0;  // the lead byte's bits of the code point
};

// Nothing if the byte can't begin a sequence.
std::optional<Utf8Lead> decodeLead(unsigned char byte) {
  if (byte < 0x80) return Utf8Lead{0, byte};
  if (byte >= 0xC2 && byte < 0xE0) return Utf8Lead{1, byte & 0x1FU};
  if (byte >= 0xE0 && byte < 0xF0) return Utf8Lead{2, byte & 0x0FU};
  if (byte >= 0xF0 && byte <= 0xF4) return Utf8Lead{3, byte & 0x07U};
  return std::nullopt;
}

// Whether the code point is a character, in a sequence no longer than it needs. Overlong sequences of two
// bytes have a lead byte that decodeLead() refuses.
bool validCodePoint(std::uint32_t point, std::size_t continuationBytes) {
  const bool overlong =
      (continuationBytes == 2 && point < 0x800) || (continuationBytes == 3 && point < 0x10000);
  const bool surrogate = point >= 0xD800 && point < 0xE000;
  return !overlong && !surrogate && point <= 0x10FFFF;
}

// Text that is not UTF-8 would make later formatting throw.
bool validUtf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto lead = decodeLead(static_cast<unsigned char>(text[i]));
    if (!lead || text.size() - i <= lead->continuationBytes) return false;
    std::uint32_t point = lead->bits;
    for (std::size_t k = 1; k <= lead->continuationBytes; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      if ((next & 0xC0U) != 0x80U) return false;
      point = point << 6U | (next & 0x3FU);
    }
    if (!validCodePoint(point, lead->continuationBytes)) return false;
    i += lead->continuationBytes + 1;
  }
  return true;
}

// Major types of CBOR items (RFC 8949, section 3.1).
enum class MajorType : unsigned { unsignedInteger, negativeInteger, bytes, text, array, map, tag, simple };

// Checks the structure of a CBOR body without building anything: the recursive decoder behind it must never
// see nesting that exhausts the stack, or a declared length that the body does not hold. Each check returns
// null, or what is wrong.
class StructureCheck {
 public:
  explicit StructureCheck(std::string_view bytes) : bytes_(bytes) {}

  const char* run() {
    expected_.push_back(1);
    while (!expected_.empty()) {
      if (expected_.back() == 0) {
        expected_.pop_back();
        continue;
      }
      --expected_.back();
      if (const char* error = checkItem()) return error;
      if (expected_.size() > kMaxDepth) return "nested too deeply";
    }
    return at_ == bytes_.size() ? nullptr : "trailing bytes";
  }

 private:
  const char* checkItem() {
    if (at_ >= bytes_.size()) return "body ends early";
    const auto head = static_cast<unsigned char>(bytes_[at_++]);
    const unsigned minor = head & 31U;
    if (minor > 27) return "indefinite lengths are not taken";
    std::uint64_t argument = minor;
    if (minor >= 24) {
      const std::size_t width = std::size_t{1} << (minor - 24);
      if (bytes_.size() - at_ < width) return "body ends early";
      argument = readBigEndian(width);
    }
    const auto type = static_cast<MajorType>(head >> 5U);
    if (type == MajorType::simple) return minor < 20 || minor == 24 ? "unknown simple value" : nullptr;
    return checkContent(type, argument);
  }

  std::uint64_t readBigEndian(std::size_t width) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < width; ++i) value = value << 8U | static_cast<unsigned char>(bytes_[at_++]);
    return value;
  }

  const char* checkContent(MajorType type, std::uint64_t argument) {
    switch (type) {
      case MajorType::bytes:
        return "byte strings are not taken";
      case MajorType::text:
        return checkText(argument);
      case MajorType::array:
        return enter(argument, 1);
      case MajorType::map:
        return enter(argument, 2);
      case MajorType::tag:
        return "tags are not taken";
      default:
        return nullptr;
    }
  }

  const char* checkText(std::uint64_t size) {
    if (size > bytes_.size() - at_) return "declared length beyond the body";
    if (!validUtf8(bytes_.substr(at_, size))) return "text that is not UTF-8";
    at_ += size;
    return nullptr;
  }

  // Every item takes at least one byte.
  const char* enter(std::uint64_t entries, std::uint64_t itemsPerEntry) {
    if (entries > (bytes_.size() - at_) / itemsPerEntry) return "declared length beyond the body";
    expected_.push_back(entries * itemsPerEntry);
    return nullptr;
  }

  std::string_view bytes_;
  std::size_t at_ = 0;
  std::vector<std::uint64_t> expected_;  // items still to come on each level
};

}  // namespace

Result<Json> decodeBody(std::string_view bytes) {
  if (const char* error = StructureCheck(bytes).run()) return Result<Json>::failure(error);
  Json body = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (body.is_discarded()) return Result<Json>::failure("not CBOR");
  return body;
}

std::string encodeBody(const Json& body) {
  std::string out;
  Json::to_cbor(body, out);
  return out;
}

}  // namespace reachhoist::wire
