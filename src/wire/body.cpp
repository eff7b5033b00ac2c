// CBOR bodies: their structure is checked before anything is built.
#include "wire/codec.hpp"

namespace reachhoist::wire {

namespace {

constexpr std::size_t kMaxDepth = 16;  // levels; the protocol's own messages use at most 5

// Text that is not UTF-8 would make later formatting throw.
bool validUtf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto lead = static_cast<unsigned char>(text[i]);
    std::size_t more = 0;
    std::uint32_t point = lead;
    if (lead >= 0xF0 && lead <= 0xF4) {
      more = 3;
      point = lead & 0x07U;
    } else if (lead >= 0xE0 && lead < 0xF0) {
      more = 2;
      point = lead & 0x0FU;
    } else if (lead >= 0xC2 && lead < 0xE0) {
      more = 1;
      point = lead & 0x1FU;
    } else if (lead >= 0x80) {
      return false;
    }
    if (text.size() - i <= more) return false;
    for (std::size_t k = 1; k <= more; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      if ((next & 0xC0U) != 0x80U) return false;
      point = point << 6U | (next & 0x3FU);
    }
    const bool overlong = (more == 2 && point < 0x800) || (more == 3 && point < 0x10000);
    if (overlong || (point >= 0xD800 && point < 0xE000) || point > 0x10FFFF) return false;
    i += more + 1;
  }
  return true;
}

// Walks the heads of CBOR items without building anything: the recursive decoder behind it must never see
// nesting that exhausts the stack, or a declared length that the body does not hold.
class Walker {
 public:
  explicit Walker(std::string_view bytes) : bytes_(bytes) {}

  const char* check() {
    std::vector<std::uint64_t> open;  // items still expected on each level
    open.push_back(1);
    while (!open.empty()) {
      if (open.back() == 0) {
        open.pop_back();
        continue;
      }
      --open.back();
      if (const char* wrong = item(open)) return wrong;
      if (open.size() > kMaxDepth) return "nested too deeply";
    }
    return at_ == bytes_.size() ? nullptr : "trailing bytes";
  }

 private:
  const char* item(std::vector<std::uint64_t>& open) {
    if (at_ >= bytes_.size()) return "body ends early";
    const auto head = static_cast<unsigned char>(bytes_[at_++]);
    const unsigned major = head >> 5U;
    const unsigned minor = head & 31U;
    if (minor > 27) return "indefinite lengths are not taken";
    std::uint64_t value = minor;
    if (minor >= 24) {
      const std::size_t width = std::size_t{1} << (minor - 24);
      if (bytes_.size() - at_ < width) return "body ends early";
      value = 0;
      for (std::size_t i = 0; i < width; ++i) value = value << 8U | static_cast<unsigned char>(bytes_[at_++]);
    }
    const std::uint64_t left = bytes_.size() - at_;
    switch (major) {
      case 0:
      case 1:
        return nullptr;
      case 2:
        return "byte strings are not taken";
      case 3:
        if (value > left) return "declared length beyond the body";
        if (!validUtf8(bytes_.substr(at_, value))) return "text that is not UTF-8";
        at_ += value;
        return nullptr;
      case 4:
        if (value > left) return "declared length beyond the body";
        open.push_back(value);
        return nullptr;
      case 5:
        if (value > left / 2) return "declared length beyond the body";
        open.push_back(2 * value);
        return nullptr;
      case 6:
        return "tags are not taken";
      default:
        return minor < 20 || minor == 24 ? "unknown simple value" : nullptr;
    }
  }

  std::string_view bytes_;
  std::size_t at_ = 0;
};

}  // namespace

Result<Json> decodeBody(std::string_view bytes) {
  if (const char* wrong = Walker(bytes).check()) return Result<Json>::failure(wrong);
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
