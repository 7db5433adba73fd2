// Encodes and decodes typed values as MessagePack. A type lists its fields once, in a function
// `fields(archive, value)`, from which both directions are derived.
//
// Decoding is strict: wrong types, wrong field counts, numbers out of range and trailing bytes are
// errors. Only codec files include this file, which keeps msgpack out of all other headers.
#pragma once

#include <array>
#include <bit>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>
#include <msgpack.hpp>

#include "toucanusher/process/endpoint.h"

namespace toucanusher::detail {

struct archive_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Wraps a list of trivially copyable values that is encoded as one little-endian byte string.
template <typename T>
struct packed_list {
    explicit packed_list(std::vector<T>& list) : list(list) {}

    [[nodiscard]] std::string bytes() const {
        static_assert(std::endian::native == std::endian::little);
        if (list.empty())
            return {};
        return {reinterpret_cast<char const*>(list.data()), list.size() * sizeof(T)};
    }
    [[nodiscard]] bool assign(std::string const& bytes) {
        static_assert(std::is_trivially_copyable_v<T>);
        if (bytes.size() % sizeof(T) != 0)
            return false;
        list.resize(bytes.size() / sizeof(T));
        if (!bytes.empty())
            std::memcpy(list.data(), bytes.data(), bytes.size());
        return true;
    }

    std::vector<T>& list;
};

// Wraps the last field of a type, a list that is left out of the encoding while it is empty. Values
// without it keep the encoding of releases that did not have the field.
template <typename List>
struct omitted_if_empty {
    explicit omitted_if_empty(List& list) : list(list) {}

    List& list;
};

// Counts the fields of a value that its encoding leaves out.
class omission_counter {
  public:
    template <typename... Ts>
    void operator()(Ts const&... values) {
        count_ = (std::size_t{0} + ... + omitted(values));
    }
    [[nodiscard]] std::size_t count() const { return count_; }

  private:
    template <typename T>
    static std::size_t omitted(T const& /*value*/) {
        return 0;
    }
    template <typename List>
    static std::size_t omitted(omitted_if_empty<List> const& field) {
        return field.list.empty() ? 1 : 0;
    }

    std::size_t count_ = 0;
};

class archive_writer {
  public:
    template <typename... Ts>
    void operator()(Ts const&... values) {
        (write(values), ...);
    }

    template <typename T>
    void write(T const& value) {
        if constexpr (std::is_same_v<T, bool>) {
            packer_.pack(value);
        } else if constexpr (std::is_enum_v<T>) {
            packer_.pack(static_cast<std::underlying_type_t<T>>(value));
        } else if constexpr (std::is_integral_v<T>) {
            packer_.pack(value);
        } else {
            omission_counter omissions;
            fields(omissions, const_cast<T&>(value));
            packer_.pack_array(static_cast<std::uint32_t>(field_count<T>() - omissions.count()));
            fields(*this, const_cast<T&>(value));
        }
    }
    void write(std::string const& text) {
        packer_.pack_bin(static_cast<std::uint32_t>(text.size()));
        packer_.pack_bin_body(text.data(), static_cast<std::uint32_t>(text.size()));
    }
    template <typename Rep, typename Period>
    void write(std::chrono::duration<Rep, Period> const& span) {
        packer_.pack(static_cast<std::int64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(span).count()));
    }
    template <typename Clock, typename Duration>
    void write(std::chrono::time_point<Clock, Duration> const& time) {
        static_assert(!Clock::is_steady, "steady time is not comparable between processes");
        write(time.time_since_epoch());
    }
    template <typename T>
    void write(std::optional<T> const& value) {
        packer_.pack_array(value ? 1 : 0);
        if (value)
            write(*value);
    }
    template <typename T, typename U>
    void write(std::pair<T, U> const& value) {
        packer_.pack_array(2);
        write(value.first);
        write(value.second);
    }
    template <typename T>
    void write(packed_list<T> const& list) {
        write(list.bytes());
    }
    template <typename List>
    void write(omitted_if_empty<List> const& field) {
        if (!field.list.empty())
            write(field.list);
    }
    template <typename T>
    void write(std::vector<T> const& list) {
        write_list(list);
    }
    template <typename T>
    void write(std::deque<T> const& list) {
        write_list(list);
    }
    template <typename K, typename V>
    void write(std::map<K, V> const& table) {
        write_list(table);
    }
    template <typename... Ts>
    void write(std::variant<Ts...> const& value) {
        packer_.pack_array(2);
        packer_.pack(static_cast<std::uint32_t>(value.index()));
        std::visit([this](auto const& body) { this->write(body); }, value);
    }

    [[nodiscard]] std::string take() { return {buffer_.data(), buffer_.size()}; }

    template <typename T>
    static constexpr std::size_t field_count();

  private:
    template <typename List>
    void write_list(List const& list) {
        packer_.pack_array(static_cast<std::uint32_t>(list.size()));
        for (auto const& item : list)
            write(item);
    }

    msgpack::sbuffer buffer_;
    msgpack::packer<msgpack::sbuffer> packer_{buffer_};
};

template <typename T>
constexpr std::size_t archive_writer::field_count() {
    return decltype(fields(std::declval<archive_writer&>(), std::declval<T&>()))::value;
}

class archive_reader {
  public:
    explicit archive_reader(msgpack::object const& object) : object_(object) {}

    template <typename... Ts>
    void operator()(Ts&... values) {
        std::size_t next = 0;
        (read_field(values, next++), ...);
    }

    template <typename T>
    void read(T& value) {
        if constexpr (std::is_same_v<T, bool>) {
            require(object_.type == msgpack::type::BOOLEAN, "expected a boolean");
            value = object_.via.boolean;
        } else if constexpr (std::is_enum_v<T>) {
            std::underlying_type_t<T> raw{};
            read(raw);
            value = static_cast<T>(raw);
            // One-byte enumerations have listed values; wider ones are identifiers.
            if constexpr (sizeof(T) == 1)
                require(is_valid(value), "unknown enumeration value");
        } else if constexpr (std::is_integral_v<T>) {
            read_integer(value);
        } else {
            constexpr std::size_t count = archive_writer::field_count<T>();
            require(object_.type == msgpack::type::ARRAY && object_.via.array.size <= count,
                    "wrong number of fields");
            fields(*this, value);
        }
    }
    void read(std::string& text) {
        require(object_.type == msgpack::type::BIN, "expected bytes");
        text.assign(object_.via.bin.ptr, object_.via.bin.size);
    }
    template <typename Rep, typename Period>
    void read(std::chrono::duration<Rep, Period>& span) {
        std::int64_t microseconds = 0;
        read(microseconds);
        constexpr std::int64_t longest = std::int64_t{400} * 366 * 24 * 3600 * 1000000;
        require(microseconds >= -longest && microseconds <= longest, "duration out of range");
        span = std::chrono::duration_cast<std::chrono::duration<Rep, Period>>(
            std::chrono::microseconds{microseconds});
    }
    template <typename Clock, typename Duration>
    void read(std::chrono::time_point<Clock, Duration>& time) {
        Duration since{};
        read(since);
        time = std::chrono::time_point<Clock, Duration>{since};
    }
    template <typename T>
    void read(std::optional<T>& value) {
        require(object_.type == msgpack::type::ARRAY && object_.via.array.size <= 1,
                "expected an optional value");
        value.reset();
        if (object_.via.array.size == 1)
            archive_reader(object_.via.array.ptr[0]).read(value.emplace());
    }
    template <typename T, typename U>
    void read(std::pair<T, U>& value) {
        auto const items = array(2);
        archive_reader(items[0]).read(const_cast<std::remove_const_t<T>&>(value.first));
        archive_reader(items[1]).read(value.second);
    }
    template <typename T>
    void read(packed_list<T>& list) {
        std::string bytes;
        read(bytes);
        require(list.assign(bytes), "packed list has a partial element");
    }
    template <typename List>
    void read(omitted_if_empty<List>& field) {
        read(field.list);
        require(!field.list.empty(), "an empty list must be left out");
    }
    template <typename T>
    void read(std::vector<T>& list) {
        read_list(list);
    }
    template <typename T>
    void read(std::deque<T>& list) {
        read_list(list);
    }
    template <typename K, typename V>
    void read(std::map<K, V>& table) {
        require(object_.type == msgpack::type::ARRAY, "expected a list");
        table.clear();
        for (std::uint32_t i = 0; i < object_.via.array.size; ++i) {
            std::pair<K, V> item;
            archive_reader(object_.via.array.ptr[i]).read(item);
            table.insert(std::move(item));
        }
    }
    template <typename... Ts>
    void read(std::variant<Ts...>& value) {
        auto const items = array(2);
        std::uint32_t index = 0;
        archive_reader(items[0]).read(index);
        require(index < sizeof...(Ts), "unknown variant alternative");
        read_alternative(value, index, items[1], std::index_sequence_for<Ts...>{});
    }

  private:
    static void require(bool condition, char const* error) {
        if (!condition)
            throw archive_error(error);
    }
    template <typename T>
    void read_field(T& value, std::size_t position) {
        require(position < object_.via.array.size, "wrong number of fields");
        archive_reader(object_.via.array.ptr[position]).read(value);
    }
    template <typename List>
    void read_field(omitted_if_empty<List>& field, std::size_t position) {
        field.list.clear();
        if (position < object_.via.array.size)
            archive_reader(object_.via.array.ptr[position]).read(field);
    }
    [[nodiscard]] msgpack::object const* array(std::uint32_t size) const {
        require(object_.type == msgpack::type::ARRAY && object_.via.array.size == size,
                "wrong number of fields");
        return object_.via.array.ptr;
    }
    template <typename T>
    void read_integer(T& value) {
        if (object_.type == msgpack::type::POSITIVE_INTEGER) {
            require(object_.via.u64 <= static_cast<std::uint64_t>(std::numeric_limits<T>::max()),
                    "number out of range");
            value = static_cast<T>(object_.via.u64);
            return;
        }
        require(object_.type == msgpack::type::NEGATIVE_INTEGER && std::is_signed_v<T>,
                "expected an integer");
        if constexpr (std::is_signed_v<T>) {
            require(object_.via.i64 >= std::numeric_limits<T>::min(), "number out of range");
            value = static_cast<T>(object_.via.i64);
        }
    }
    template <typename List>
    void read_list(List& list) {
        require(object_.type == msgpack::type::ARRAY, "expected a list");
        list.clear();
        for (std::uint32_t i = 0; i < object_.via.array.size; ++i)
            archive_reader(object_.via.array.ptr[i]).read(list.emplace_back());
    }
    template <typename Variant, std::size_t... Is>
    static void read_alternative(Variant& value, std::uint32_t index, msgpack::object const& body,
                                 std::index_sequence<Is...> /*all*/) {
        ((index == Is ? archive_reader(body).read(value.template emplace<Is>()) : void()), ...);
    }

    msgpack::object const& object_;
};

// Number of fields, as a type, so that it is a compile-time constant.
template <std::size_t N>
using field_total = std::integral_constant<std::size_t, N>;

template <typename Archive, typename... Ts>
field_total<sizeof...(Ts)> list_fields(Archive& archive, Ts&... values) {
    archive(values...);
    return {};
}

template <typename T>
std::string encode(T const& value) {
    archive_writer writer;
    writer.write(value);
    return writer.take();
}

template <typename T>
absl::StatusOr<T> decode(std::string_view bytes) {
    constexpr std::size_t max_depth = 16;
    constexpr std::size_t max_items = 4U << 20U;
    std::size_t const max_bytes = bytes.size();
    try {
        std::size_t offset = 0;
        msgpack::unpack_limit const limit(max_items, 0, max_bytes, max_bytes, 0, max_depth);
        auto const handle =
            msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size())
            return absl::InvalidArgumentError("trailing bytes after the message");
        T value{};
        archive_reader(handle.get()).read(value);
        return value;
    } catch (archive_error const& error) {
        return absl::InvalidArgumentError(error.what());
    } catch (msgpack::unpack_error const& error) {
        return absl::InvalidArgumentError(error.what());
    } catch (std::bad_alloc const&) {
        return absl::ResourceExhaustedError("not enough memory to decode the message");
    }
}

} // namespace toucanusher::detail

namespace toucanusher {

template <typename Archive>
auto fields(Archive& archive, endpoint& value) {
    return detail::list_fields(archive, value.address, value.port);
}

} // namespace toucanusher
