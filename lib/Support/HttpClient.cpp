#include "balsamreel/Support/HttpClient.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <vector>

namespace balsamreel::Support {

using Poco::Net::HTTPResponse;

namespace {

constexpr std::size_t bufferBytes = 32 * 1024;
constexpr std::size_t maximumLineBytes = 8 * 1024; // of a chunk's size and extensions, or a trailer
constexpr std::size_t maximumTrailers = 100;
constexpr int maximumInterimResponses = 16;
constexpr int firstFinalStatus = 200;
constexpr int lastStatus = 599;
constexpr int endOfStream = std::char_traits<char>::eof();

bool isDigit(char letter)
{
    return letter >= '0' && letter <= '9';
}

bool isTokenCharacter(char letter)
{
    bool isLetter = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
    return isLetter || isDigit(letter) || std::string_view("!#$%&'*+-.^_`|~").find(letter) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, isTokenCharacter);
}

// Bytes beyond ASCII are permitted, as servers send them in names of files.
bool isFieldText(std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    return std::ranges::all_of(text, [](char letter) {
        auto code = static_cast<unsigned char>(letter);
        return letter == '\t' || (code >= firstPrintable && code != deleteCharacter);
    });
}

bool isHeaderLine(std::string_view line)
{
    auto colon = line.find(':');
    return colon != std::string_view::npos && isToken(line.substr(0, colon)) && isFieldText(line.substr(colon + 1));
}

bool isInterim(const HTTPResponse& response)
{
    int status = response.getStatus();
    return status > HTTPResponse::HTTP_SWITCHING_PROTOCOLS && status < firstFinalStatus;
}

// Readers that disagree on the length of a body take its rest for the next response, so only one plain length is valid.
bool hasValidFraming(const HTTPResponse& response)
{
    std::size_t lengths = 0;
    std::size_t encodings = 0;
    for (const auto& [name, value] : response) {
        if (Poco::icompare(name, HTTPResponse::CONTENT_LENGTH) == 0) {
            ++lengths;
            if (value.empty() || !std::ranges::all_of(value, isDigit))
                return false;
        }
        if (Poco::icompare(name, HTTPResponse::TRANSFER_ENCODING) == 0) {
            ++encodings;
            if (Poco::icompare(value, HTTPResponse::CHUNKED_TRANSFER_ENCODING) != 0)
                return false;
        }
    }
    return lengths + encodings <= 1;
}

// 101 is no valid response either, as no request here asks for another protocol.
bool isValidHead(const HTTPResponse& response)
{
    int status = response.getStatus();
    bool isFinal = status >= firstFinalStatus && status <= lastStatus;
    bool hasValidHeaders = std::ranges::all_of(response, [](const auto& header) { return isToken(header.first) && isFieldText(header.second); });
    return (isFinal || isInterim(response)) && hasValidHeaders && hasValidFraming(response);
}

// The size of a chunk, from the line before it, which may have extensions.
bool parseChunkSize(std::string_view line, std::uint64_t& size)
{
    constexpr int hexBase = 16;
    auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), size, hexBase);
    if (error != std::errc())
        return false;
    auto extensions = line.substr(static_cast<std::size_t>(end - line.data()));
    auto first = extensions.find_first_not_of(" \t");
    return first == std::string_view::npos || (extensions[first] == ';' && isFieldText(extensions));
}

} // namespace

std::istream& HttpClientSession::receiveResponse(HTTPResponse& response)
{
    for (int interim = 0; interim <= maximumInterimResponses; ++interim) {
        auto& stream = HTTPClientSession::receiveResponse(response);
        if (!isValidHead(response))
            break;
        if (!isInterim(response))
            return stream;
    }
    // What follows on this connection cannot be told from the rest of this response.
    reset();
    throw Poco::Net::MessageException("malformed response");
}

BodyEnd HttpClientSession::readBody(const HTTPResponse& response, bool hasBody, const Sink& sink)
{
    if (!hasBody)
        return BodyEnd::Complete;
    try {
        if (response.getChunkedTransferEncoding())
            return readChunked(sink);
        if (response.hasContentLength())
            return readFixed(static_cast<std::uint64_t>(response.getContentLength64()), sink);
        return readToEnd(sink);
    } catch (const Poco::Exception&) {
        return BodyEnd::Truncated;
    }
}

BodyEnd HttpClientSession::readFixed(std::uint64_t length, const Sink& sink)
{
    std::vector<char> buffer(std::min<std::uint64_t>(length, bufferBytes));
    while (length > 0) {
        int count = read(buffer.data(), static_cast<std::streamsize>(std::min<std::uint64_t>(length, buffer.size())));
        if (count <= 0)
            return BodyEnd::Truncated;
        length -= static_cast<std::uint64_t>(count);
        if (!sink(buffer.data(), static_cast<std::size_t>(count)))
            return BodyEnd::Stopped;
    }
    return BodyEnd::Complete;
}

// Reads a line without its end; false if it is too long or does not end.
bool HttpClientSession::readLine(std::string& line)
{
    line.clear();
    for (int letter = get(); letter != '\n'; letter = get()) {
        if (letter == endOfStream || line.size() >= maximumLineBytes)
            return false;
        line += static_cast<char>(letter);
    }
    if (line.ends_with('\r'))
        line.pop_back();
    return true;
}

// Trailers end with an empty line. They are checked and dropped.
bool HttpClientSession::readTrailers()
{
    std::string line;
    for (std::size_t trailers = 0; trailers <= maximumTrailers; ++trailers) {
        if (!readLine(line))
            return false;
        if (line.empty())
            return true;
        if (!isHeaderLine(line))
            return false;
    }
    return false;
}

// Parses the chunks here because POCO's chunked stream ends the same way for complete and truncated bodies.
BodyEnd HttpClientSession::readChunked(const Sink& sink)
{
    std::string line;
    while (true) {
        std::uint64_t size = 0;
        if (!readLine(line) || !parseChunkSize(line, size))
            return BodyEnd::Truncated;
        if (size == 0)
            return readTrailers() ? BodyEnd::Complete : BodyEnd::Truncated;
        if (auto end = readFixed(size, sink); end != BodyEnd::Complete)
            return end;
        if (!readLine(line) || !line.empty())
            return BodyEnd::Truncated;
    }
}

// A reset is an exception here. That of a failed write is thrown before, by receiveResponse().
BodyEnd HttpClientSession::readToEnd(const Sink& sink)
{
    std::vector<char> buffer(bufferBytes);
    while (true) {
        int count = read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
        if (count <= 0)
            return BodyEnd::Complete;
        if (!sink(buffer.data(), static_cast<std::size_t>(count)))
            return BodyEnd::Stopped;
    }
}

bool responseHasBody(const std::string& method, int status)
{
    return method != Poco::Net::HTTPRequest::HTTP_HEAD && status >= firstFinalStatus && status != HTTPResponse::HTTP_NO_CONTENT && status != HTTPResponse::HTTP_NOT_MODIFIED;
}

} // namespace balsamreel::Support
