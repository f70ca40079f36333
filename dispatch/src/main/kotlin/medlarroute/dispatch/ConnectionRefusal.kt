package medlarroute.dispatch

import java.net.ConnectException

/** Whether a connection attempt failed because no process listens at the address, not by a timeout or routing error. */
public fun isConnectionRefused(cause: Throwable): Boolean =
    cause is ConnectException && cause.message.orEmpty().contains("refused", ignoreCase = true)
