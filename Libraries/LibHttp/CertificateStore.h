/// \file
/// The certificate that a server shows, which may be replaced while it serves.

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

/// Holds one certificate with its chain and key. Any thread may use it.
class CertificateStore {
public:
  CertificateStore(std::string CertificateFile, std::string KeyFile);

  /// Reads both files. HttpError::BadCertificate where one can't be read or
  /// they do not match; what was read before then stays in use.
  Result<void> load();

  /// Makes \p Context show the certificate that is in use at the time of each
  /// handshake, and give up a handshake whose caller is silent. The store must
  /// outlive it.
  void installOn(SSL_CTX *Context);

  const std::string &certificateFile() const { return this->CertificateFile; }
  const std::string &keyFile() const { return this->KeyFile; }

private:
  struct Loaded;

  static int show(SSL *Connection, void *Self);

  std::string CertificateFile;
  std::string KeyFile;
  std::mutex Lock;
  std::shared_ptr<const Loaded> Current;
};

/// Runs \p Create. \returns the last OpenSSL context that it made on this
/// thread, or nothing. Pistache makes one and shows it to nobody.
SSL_CTX *contextMadeBy(const std::function<void()> &Create);

} // namespace bergamothook::detail

#endif
