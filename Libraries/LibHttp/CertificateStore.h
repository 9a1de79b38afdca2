/// \file
/// The certificate of a TLS server, which can be replaced while it is running.

#ifndef BERGAMOTHOOK_LIBHTTP_CERTIFICATESTORE_H
#define BERGAMOTHOOK_LIBHTTP_CERTIFICATESTORE_H

#include "LibBase/Result.h"

#include <functional>
#include <memory>
#include <mutex>
#include <openssl/ssl.h>
#include <string>
#include <vector>

namespace bergamothook::detail {

/// Holds one certificate with its chain and private key. Thread-safe.
class CertificateStore {
public:
  CertificateStore(std::string CertificateFile, std::string KeyFile);

  /// Loads both files. Fails with HttpError::BadCertificate if one can't be
  /// read or they don't match; the previous certificate then stays in use.
  Result<void> load();

  /// Makes \p Context use the current certificate in each handshake and abort
  /// handshakes in which the client sends nothing. The store must outlive
  /// \p Context.
  void installOn(SSL_CTX *Context);

  const std::string &certificateFile() const { return this->CertificateFile; }
  const std::string &keyFile() const { return this->KeyFile; }

private:
  struct CertifiedKey;

  static int selectCertificate(SSL *Connection, void *Self);

  std::string CertificateFile;
  std::string KeyFile;
  std::mutex Lock;
  std::shared_ptr<const CertifiedKey> Current;
};

/// Runs \p Create. \returns the last OpenSSL context that it created on this
/// thread, or null. Needed because Pistache does not expose its context.
SSL_CTX *captureContext(const std::function<void()> &Create);

} // namespace bergamothook::detail

#endif
