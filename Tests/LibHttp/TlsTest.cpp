#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"
#include "LibTask/RealRuntime.h"
#include "RawSocket.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <unistd.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

/// A temporary directory that is removed at the end of the test.
struct TemporaryDirectory {
  TemporaryDirectory()
      : Path(std::filesystem::temp_directory_path() /
             ("bergamothook-tls-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(this->Path);
  }
  TemporaryDirectory(const TemporaryDirectory &) = delete;
  TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;
  ~TemporaryDirectory() { std::filesystem::remove_all(this->Path); }

  std::string file(const std::string &Name) const {
    return (this->Path / Name).string();
  }

  std::filesystem::path Path;
};

void setExtension(X509 *Certificate, int Nid, const char *Value) {
  X509V3_CTX Context;
  X509V3_set_ctx_nodb(&Context);
  X509V3_set_ctx(&Context, Certificate, Certificate, nullptr, nullptr, 0);
  X509_EXTENSION *Extension =
      X509V3_EXT_conf_nid(nullptr, &Context, Nid, Value);
  X509_add_ext(Certificate, Extension, -1);
  X509_EXTENSION_free(Extension);
}

/// Writes a new self-signed certificate for 127.0.0.1 and its key.
void writeCertificate(const std::string &CertificateFile,
                      const std::string &KeyFile, long Serial) {
  constexpr long ValidSeconds = 3600;
  EVP_PKEY *Key = EVP_EC_gen("P-256");
  X509 *Certificate = X509_new();
  X509_set_version(Certificate, X509_VERSION_3);
  ASN1_INTEGER_set(X509_get_serialNumber(Certificate), Serial);
  X509_gmtime_adj(X509_getm_notBefore(Certificate), -ValidSeconds);
  X509_gmtime_adj(X509_getm_notAfter(Certificate), ValidSeconds);
  X509_set_pubkey(Certificate, Key);
  X509_NAME *Name = X509_get_subject_name(Certificate);
  std::string CommonName = "test " + std::to_string(Serial);
  X509_NAME_add_entry_by_txt(
      Name, "CN", MBSTRING_ASC,
      reinterpret_cast<const unsigned char *>(CommonName.c_str()), -1, -1, 0);
  X509_set_issuer_name(Certificate, Name);
  setExtension(Certificate, NID_basic_constraints, "critical,CA:TRUE");
  setExtension(Certificate, NID_subject_alt_name, "IP:127.0.0.1");
  X509_sign(Certificate, Key, EVP_sha256());
  BIO *Out = BIO_new_file(CertificateFile.c_str(), "w");
  PEM_write_bio_X509(Out, Certificate);
  BIO_free(Out);
  Out = BIO_new_file(KeyFile.c_str(), "w");
  PEM_write_bio_PrivateKey(Out, Key, nullptr, nullptr, 0, nullptr, nullptr);
  BIO_free(Out);
  X509_free(Certificate);
  EVP_PKEY_free(Key);
}

struct TlsServer {
  TlsServer()
      : Server({}, [](const HttpRequest &Request, HttpReply Reply) {
          Reply.sendResponse(200, "text/plain", Request.Body);
        }) {
    writeCertificate(this->Certificate, this->Key, 1);
    REQUIRE(this->Server.useTls(this->Certificate, this->Key));
    REQUIRE(this->Server.start());
  }

  /// Calls over a new connection that trusts only \p CaFile.
  Result<HttpResponse> call(const std::string &CaFile,
                            const std::string &Body = "hello") {
    RealRuntime Real;
    HttpClient Client(Real.hooks());
    HttpCall Call;
    Call.Method = "POST";
    Call.Address = "127.0.0.1";
    Call.Port = this->Server.port();
    Call.Body = Body;
    Call.UsesTls = true;
    Call.CaFile = CaFile;
    Call.ConnectTimeout = 10s;
    return Client.call(Call, readMonotonicClock() + 10s);
  }

  TemporaryDirectory Directory;
  std::string Certificate = this->Directory.file("certificate.pem");
  std::string Key = this->Directory.file("key.pem");
  HttpServer Server;
};

} // namespace

TEST_CASE("a call over TLS gets the complete response") {
  TlsServer Tls;
  const std::string Large(1 << 20, 'x');
  auto Response = Tls.call(Tls.Certificate, Large);
  REQUIRE(Response);
  CHECK(Response.value().Body == Large);
}

TEST_CASE("a certificate is replaced without a restart") {
  TlsServer Tls;
  std::string OldCertificate = Tls.Directory.file("old.pem");
  std::filesystem::copy_file(Tls.Certificate, OldCertificate);
  writeCertificate(Tls.Certificate, Tls.Key, 2);
  CHECK(Tls.call(OldCertificate));
  REQUIRE(Tls.Server.reloadCertificate());
  CHECK(Tls.call(Tls.Certificate));
  CHECK(Tls.call(OldCertificate).error() == HttpError::ConnectFailed);
}

TEST_CASE("a mismatched certificate and key leave the previous ones in use") {
  TlsServer Tls;
  std::string OldCertificate = Tls.Directory.file("old.pem");
  std::filesystem::copy_file(Tls.Certificate, OldCertificate);
  writeCertificate(Tls.Certificate, Tls.Directory.file("other-key.pem"), 3);
  CHECK(Tls.Server.reloadCertificate().error() == HttpError::BadCertificate);
  std::ofstream(Tls.Certificate) << "no certificate";
  CHECK(Tls.Server.reloadCertificate().error() == HttpError::BadCertificate);
  CHECK(Tls.call(OldCertificate));
}

TEST_CASE("a client that sends no handshake does not block others") {
  TlsServer Tls;
  RawSocket IdleClient(Tls.Server.port());
  CHECK(Tls.call(Tls.Certificate));
}
