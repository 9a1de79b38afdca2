#include "LibHttp/HttpServer.h"

#include "LibHttp/ServerCore.h"

namespace bergamothook {

HttpServer::HttpServer(HttpServerLimits Limits, Handler OnRequest)
    : Core(std::make_unique<detail::ServerCore>(std::move(Limits),
                                                std::move(OnRequest))) {}

HttpServer::~HttpServer() = default;

Result<void> HttpServer::useTls(const std::string &CertificateFile,
                                const std::string &KeyFile) {
  return this->Core->useTls(CertificateFile, KeyFile);
}

Result<void> HttpServer::reloadCertificate() {
  return this->Core->reloadCertificate();
}

Result<void> HttpServer::start() { return this->Core->start(); }

void HttpServer::stop() { this->Core->stop(); }

std::uint16_t HttpServer::port() const { return this->Core->port(); }

std::size_t HttpServer::connections() const {
  return this->Core->connections();
}

std::size_t HttpServer::activeRequests() const {
  return this->Core->activeRequests();
}

} // namespace bergamothook
