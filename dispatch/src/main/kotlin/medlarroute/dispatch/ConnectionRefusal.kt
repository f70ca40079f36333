package medlarroute.dispatch

import java.net.ConnectException

/** Whether a connection failed because nothing listens at the address, rather than by a time-out or a missing route. */
public fun isConnectionRefused(cause: Throwable): Boolean =
    cause is ConnectException && cause.message.orEmpty().contains("refused", ignoreCase = true)
