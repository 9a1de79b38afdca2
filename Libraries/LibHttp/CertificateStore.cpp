#include "LibHttp/CertificateStore.h"

#include "LibHttp/HttpError.h"

#include <openssl/pem.h>
#include <sys/socket.h>
#include <sys/time.h>

namespace bergamothook::detail {

namespace {

using Bio = std::unique_ptr<BIO, decltype(&BIO_free)>;

/// The read timeout of the client's socket during the handshake.
constexpr timeval HandshakeReadTimeout{0, 500000};

/// Pistache performs the handshake on its accepting thread with a read timeout
/// of ten seconds, so that an idle client would delay all other connections.
void setHandshakeTimeout(const SSL *Connection, int Where, int) {
  if ((Where & SSL_CB_HANDSHAKE_START) != 0)
    setsockopt(SSL_get_fd(Connection), SOL_SOCKET, SO_RCVTIMEO,
               &HandshakeReadTimeout, sizeof(HandshakeReadTimeout));
}

thread_local SSL_CTX *LastCreatedContext = nullptr;

void recordContext(void *Context, void *, CRYPTO_EX_DATA *, int, long, void *) {
  LastCreatedContext = static_cast<SSL_CTX *>(Context);
}

} // namespace

struct CertificateStore::CertifiedKey {
  CertifiedKey() = default;
  CertifiedKey(const CertifiedKey &) = delete;
  CertifiedKey &operator=(const CertifiedKey &) = delete;
  ~CertifiedKey() {
    X509_free(this->Leaf);
    EVP_PKEY_free(this->Key);
    sk_X509_pop_free(this->Chain, X509_free);
  }

  bool read(const std::string &CertificateFile, const std::string &KeyFile) {
    Bio Certificates(BIO_new_file(CertificateFile.c_str(), "r"), BIO_free);
    Bio KeyText(BIO_new_file(KeyFile.c_str(), "r"), BIO_free);
    if (!Certificates || !KeyText)
      return false;
    this->Leaf =
        PEM_read_bio_X509(Certificates.get(), nullptr, nullptr, nullptr);
    this->Key =
        PEM_read_bio_PrivateKey(KeyText.get(), nullptr, nullptr, nullptr);
    while (X509 *Next =
               PEM_read_bio_X509(Certificates.get(), nullptr, nullptr, nullptr))
      sk_X509_push(this->Chain, Next);
    return this->Leaf && this->Key &&
           X509_check_private_key(this->Leaf, this->Key) == 1;
  }

  X509 *Leaf = nullptr;
  EVP_PKEY *Key = nullptr;
  STACK_OF(X509) *Chain = sk_X509_new_null();
};

CertificateStore::CertificateStore(std::string CertificateFile,
                                   std::string KeyFile)
    : CertificateFile(std::move(CertificateFile)), KeyFile(std::move(KeyFile)) {
}

Result<void> CertificateStore::load() {
  auto Loaded = std::make_shared<CertifiedKey>();
  if (!Loaded->read(this->CertificateFile, this->KeyFile))
    return HttpError::BadCertificate;
  std::lock_guard Guard(this->Lock);
  this->Current = std::move(Loaded);
  return success();
}

void CertificateStore::installOn(SSL_CTX *Context) {
  SSL_CTX_set_min_proto_version(Context, TLS1_2_VERSION);
  SSL_CTX_set_cert_cb(Context, selectCertificate, this);
  SSL_CTX_set_info_callback(Context, setHandshakeTimeout);
}

int CertificateStore::selectCertificate(SSL *Connection, void *Self) {
  auto *Store = static_cast<CertificateStore *>(Self);
  std::shared_ptr<const CertifiedKey> Selected;
  {
    std::lock_guard Guard(Store->Lock);
    Selected = Store->Current;
  }
  constexpr int OverridesCurrent = 1;
  return SSL_use_cert_and_key(Connection, Selected->Leaf, Selected->Key,
                              Selected->Chain, OverridesCurrent);
}

SSL_CTX *captureContext(const std::function<void()> &Create) {
  static const int Index = CRYPTO_get_ex_new_index(
      CRYPTO_EX_INDEX_SSL_CTX, 0, nullptr, recordContext, nullptr, nullptr);
  static_cast<void>(Index);
  LastCreatedContext = nullptr;
  Create();
  return LastCreatedContext;
}

} // namespace bergamothook::detail
